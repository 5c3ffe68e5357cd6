package org.quetzalshunt.core.dispatch;

/** Moving averages from which the forecast of a route or service is made. */
final class LearntForecast {
    /** Assumed until programs were seen. */
    private static final double FIRST_TURNS = 6;

    private static final double FIRST_TURN_MILLIS = 150;
    private static final double FIRST_PAUSE_MILLIS = 120;

    /** Weight of the newest sample: the averages cover about the last fifty. */
    private static final double WEIGHT = 0.02;

    /**
     * Weight of a pause that is longer than the average. It is smaller than that of a shorter one, because a program
     * whose turns also run through other gateways shows this one only the sum of several pauses and turns.
     */
    private static final double LONG_PAUSE_WEIGHT = 0.005;

    /** First turns over which turns per program are averaged; older ones count half after each such number. */
    private static final double COUNTED_STARTS = 200;

    private static final double MAXIMUM_TURNS = 64;

    /** A first turn with less time left than usual by this much has been refused before and returns. */
    private static final double MINIMUM_RETURN_MILLIS = 150;

    private double starts = 5;
    private double turns = FIRST_TURNS * starts;
    private double turnMillis = FIRST_TURN_MILLIS;
    private double pauseMillis = FIRST_PAUSE_MILLIS;
    private double objectiveMillis;
    private double objectiveSpreadMillis;
    private double errorMillis;
    private double hintTokens;

    void countTurn(boolean beginsProgram) {
        turns++;
        starts += beginsProgram ? 1 : 0;
        if (starts > 2 * COUNTED_STARTS) {
            turns /= 2;
            starts /= 2;
        }
    }

    void recordTurn(long tookMillis) {
        errorMillis += WEIGHT * (Math.abs(tookMillis - turnMillis) - errorMillis);
        turnMillis += WEIGHT * (tookMillis - turnMillis);
    }

    void recordPause(long millis) {
        pauseMillis += (millis < pauseMillis ? WEIGHT : LONG_PAUSE_WEIGHT) * (millis - pauseMillis);
    }

    void recordObjective(long millis) {
        if (objectiveMillis == 0) {
            objectiveMillis = millis;
        }
        if (!isReturned(millis)) {
            objectiveSpreadMillis += WEIGHT * (Math.abs(millis - objectiveMillis) - objectiveSpreadMillis);
            objectiveMillis += WEIGHT * (millis - objectiveMillis);
        }
    }

    /** Whether a first turn with this much time left was probably refused before: its program began to lose time. */
    boolean isReturned(long leftMillis) {
        return leftMillis < objectiveMillis - Math.max(MINIMUM_RETURN_MILLIS, 2 * objectiveSpreadMillis);
    }

    void recordHint(long tokens) {
        hintTokens = hintTokens == 0 ? tokens : hintTokens + WEIGHT * (tokens - hintTokens);
    }

    /** Usual estimate of callers; 0 before any. */
    double hintTokens() {
        return hintTokens;
    }

    ProgramForecast forecast() {
        double meanTurns = Math.max(1, Math.min(MAXIMUM_TURNS, turns / starts));
        return new ProgramForecast(
                meanTurns, Math.max(1, turnMillis), Math.max(0, pauseMillis), objectiveMillis, errorMillis);
    }
}
