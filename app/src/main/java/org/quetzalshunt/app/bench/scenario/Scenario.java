package org.quetzalshunt.app.bench.scenario;

import java.util.List;

/**
 * A load pattern with engines and faults, independent of the scheduling policy under test.
 *
 * @param name name used on the command line
 * @param description one-sentence description for the output
 * @param engines number of engines of the single service
 * @param engine capacity of each engine
 * @param entries number of entries that share the engines
 * @param reports timing of the engines' load reports
 * @param accounts client accounts, whose load fractions add up to one
 * @param programs kinds of programs, whose probabilities add up to one
 * @param load necessary work offered at the agreed rates, as a fraction of the engines' capacity
 * @param burst period in which all accounts send more
 * @param faults engine faults
 * @param arrivalMillis period in which new programs arrive; the scenario runs until all programs have ended
 */
public record Scenario(
        String name,
        String description,
        int engines,
        EngineParameters engine,
        int entries,
        Reports reports,
        List<AccountLoad> accounts,
        List<ProgramProfile> programs,
        double load,
        Burst burst,
        List<Fault> faults,
        long arrivalMillis) {

    /**
     * Timing of load reports to each entry.
     *
     * @param intervalMillis time between reports of one engine to one entry
     * @param lagMillis age of a report on arrival
     */
    public record Reports(long intervalMillis, long lagMillis) {}

    /**
     * A period with a multiplied arrival rate.
     *
     * @param fromMillis start of the period
     * @param untilMillis end of the period, exclusive
     * @param factor multiple of the usual arrival rate
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

    /** Units of work needed to prefill new prompt tokens and to generate an answer. */
    double units(long promptTokens, long outputTokens) {
        return promptTokens * engine.unitsPerPromptToken() + outputTokens;
    }

    Scenario withName(String newName, String newDescription) {
        return new Scenario(
                newName,
                newDescription,
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

    Scenario withEngines(int newEngines, EngineParameters newEngine, int newEntries, Reports newReports) {
        return new Scenario(
                name,
                description,
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

    Scenario withAccounts(List<AccountLoad> newAccounts) {
        return new Scenario(
                name,
                description,
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

    Scenario withPrograms(List<ProgramProfile> newPrograms) {
        return new Scenario(
                name,
                description,
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

    Scenario withBurst(Burst newBurst) {
        return new Scenario(
                name,
                description,
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

    Scenario withFaults(List<Fault> newFaults) {
        return new Scenario(
                name,
                description,
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

    /** Returns a copy with another load and arrival period. */
    public Scenario withLoad(double newLoad, long newArrivalMillis) {
        return new Scenario(
                name,
                description,
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
