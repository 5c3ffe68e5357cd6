package org.quetzalshunt.app.bench.play;

import java.util.List;

/**
 * A pattern of load, without a policy.
 *
 * @param name name on the command line
 * @param story what happens, in one sentence
 * @param engines engines of the one service
 * @param engine what each can do
 * @param entries entries that share them
 * @param reports how their load is reported
 * @param accounts client accounts; their parts add up to one
 * @param programs kinds of programs; their probabilities add up to one
 * @param load necessary work that comes in at agreed rates, as a part of the engines' capacity
 * @param burst a time in which everybody sends more
 * @param faults what goes wrong
 * @param arrivalMillis how long new programs arrive; the play goes on until all have ended
 */
public record Play(
        String name,
        String story,
        int engines,
        EngineShape engine,
        int entries,
        Reports reports,
        List<AccountLoad> accounts,
        List<ProgramShape> programs,
        double load,
        Burst burst,
        List<Fault> faults,
        long arrivalMillis) {

    /**
     * How load is reported to each entry.
     *
     * @param everyMillis time between reports of one engine to one entry
     * @param lagMillis age of a report when it comes
     */
    public record Reports(long everyMillis, long lagMillis) {}

    /**
     * A time in which arrivals are multiplied.
     *
     * @param fromMillis start
     * @param untilMillis end
     * @param factor how many times the usual arrivals
     */
    public record Burst(long fromMillis, long untilMillis, double factor) {
        static Burst none() {
            return new Burst(0, 0, 1);
        }

        double factorAt(long millis) {
            return millis >= fromMillis && millis < untilMillis ? factor : 1;
        }
    }

    /** Capacity of all engines in units of work per second. */
    public double unitsPerSecond() {
        return engines * engine.unitsPerSecond();
    }

    /** Necessary work of a prompt part and an answer, in units. */
    double units(long promptTokens, long outputTokens) {
        return promptTokens * engine.unitsPerPromptToken() + outputTokens;
    }

    Play withName(String newName, String newStory) {
        return new Play(
                newName,
                newStory,
                engines,
                engine,
                entries,
                reports,
                accounts,
                programs,
                load,
                burst,
                faults,
                arrivalMillis);
    }

    Play withEngines(int newEngines, EngineShape newEngine, int newEntries, Reports newReports) {
        return new Play(
                name,
                story,
                newEngines,
                newEngine,
                newEntries,
                newReports,
                accounts,
                programs,
                load,
                burst,
                faults,
                arrivalMillis);
    }

    Play withAccounts(List<AccountLoad> newAccounts) {
        return new Play(
                name,
                story,
                engines,
                engine,
                entries,
                reports,
                newAccounts,
                programs,
                load,
                burst,
                faults,
                arrivalMillis);
    }

    Play withPrograms(List<ProgramShape> newPrograms) {
        return new Play(
                name,
                story,
                engines,
                engine,
                entries,
                reports,
                accounts,
                newPrograms,
                load,
                burst,
                faults,
                arrivalMillis);
    }

    Play withBurst(Burst newBurst) {
        return new Play(
                name,
                story,
                engines,
                engine,
                entries,
                reports,
                accounts,
                programs,
                load,
                newBurst,
                faults,
                arrivalMillis);
    }

    Play withFaults(List<Fault> newFaults) {
        return new Play(
                name,
                story,
                engines,
                engine,
                entries,
                reports,
                accounts,
                programs,
                load,
                burst,
                newFaults,
                arrivalMillis);
    }

    /** The same at another load for another time. */
    public Play withLoad(double newLoad, long newArrivalMillis) {
        return new Play(
                name,
                story,
                engines,
                engine,
                entries,
                reports,
                accounts,
                programs,
                newLoad,
                burst,
                faults,
                newArrivalMillis);
    }
}
