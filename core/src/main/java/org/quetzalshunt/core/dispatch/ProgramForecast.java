package org.quetzalshunt.core.dispatch;

/**
 * What the programs of a route or service are expected to need.
 *
 * @param turns turns of a program, with those of its sub-agents
 * @param turnMillis time of a turn at its endpoint
 * @param pauseMillis time between two turns, for tools and the caller's own work
 * @param objectiveMillis time objective of a program at its first turn; 0 if none was ever stated
 * @param errorMillis mean absolute error of the forecast time of a turn
 */
public record ProgramForecast(
        double turns, double turnMillis, double pauseMillis, double objectiveMillis, double errorMillis) {
    /** Time from one turn to the next. */
    double cycleMillis() {
        return turnMillis + pauseMillis;
    }

    /** Share of its time in which a program in progress has a request in flight. */
    double busyShare() {
        return turnMillis / cycleMillis();
    }

    /** Time of a whole program that never waits; no pause follows its last turn. */
    public double programMillis() {
        return turns * cycleMillis() - pauseMillis;
    }
}
