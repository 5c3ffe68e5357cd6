package org.quetzalshunt.app.bench.limits;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiFunction;

/**
 * Traffic pattern of one account.
 *
 * @param name short name
 * @param load offered load as a multiple of the account's rate
 * @param entrySelector chooses the entry that receives a request
 * @param hasCrash whether the entry with the most influence on decisions crashes after a third of the time
 */
record LimitScenario(String name, double load, EntrySelector entrySelector, boolean hasCrash) {
    /** Chooses the entry that receives a request from the time and the number of entries. */
    interface EntrySelector {
        int select(long millis, int entries, SplittableRandom random);
    }

    /**
     * All scenarios: a load balancer that spreads requests evenly, sends all to one entry, or moves between entries; an
     * account that exceeds its rate; and a crashed entry.
     */
    static List<LimitScenario> all() {
        EntrySelector even = (millis, entries, random) -> random.nextInt(entries);
        EntrySelector single = (millis, entries, random) -> entries - 1;
        EntrySelector moving = (millis, entries, random) -> (int) (millis / 1_000 * 7 % entries);
        return List.of(
                new LimitScenario("even", 0.95, even, false),
                new LimitScenario("one entry", 0.95, single, false),
                new LimitScenario("moving", 0.95, moving, false),
                new LimitScenario("greedy", 3, even, false),
                new LimitScenario("crash", 0.95, even, true));
    }

    /** Creates a limiter in the given virtual time. */
    interface LimiterFactory extends BiFunction<VirtualTime, Limiter.Parameters, Limiter> {}

    /**
     * Results of one run.
     *
     * @param overshoot largest number of tokens by which admissions in any window of length t exceeded rate × t + burst
     * @param wronglyRefusedShare share of requests refused although a single fleet-wide bucket would have had a token
     * @param admittedShare share of requests admitted
     * @param messagesPerSecond messages per second of all entries
     * @param bytesPerSecond octets per second of all entries
     */
    record Result(
            double overshoot,
            double wronglyRefusedShare,
            double admittedShare,
            double messagesPerSecond,
            double bytesPerSecond) {}

    private static final int NO_ENTRY = -1;
    private static final long WARM_UP_MILLIS = 3_000;
    private static final long TRAFFIC_MILLIS = 60_000;

    Result run(LimiterFactory factory, Limiter.Parameters parameters) {
        VirtualTime time = new VirtualTime();
        Limiter limiter = factory.apply(time, parameters);
        SplittableRandom random = new SplittableRandom(parameters.seed() + 1);
        time.advanceTo(WARM_UP_MILLIS);
        Limiter.Cost before = limiter.cost();
        AdmissionMeter meter = new AdmissionMeter(time, parameters);
        double intervalMillis = 1_000 / (parameters.rate() * load);
        int[] crashed = {NO_ENTRY};
        for (double atMillis = intervalMillis; atMillis < TRAFFIC_MILLIS; atMillis += intervalMillis) {
            time.runAfter((long) atMillis, () -> {
                int chosen = entrySelector.select(time.now(), parameters.entries(), random);
                int reached = chosen == crashed[0] ? (chosen + 1) % parameters.entries() : chosen;
                meter.request(answer -> limiter.request(reached, 0, answer));
            });
        }
        if (hasCrash) {
            time.runAfter(TRAFFIC_MILLIS / 3, () -> crashed[0] = limiter.crash());
        }
        time.advanceTo(WARM_UP_MILLIS + TRAFFIC_MILLIS + 1_000);
        Limiter.Cost after = limiter.cost();
        double seconds = TRAFFIC_MILLIS / 1_000.0;
        return new Result(
                meter.overshoot(),
                meter.wronglyRefusedShare(),
                meter.admittedShare(),
                (after.messages() - before.messages()) / seconds,
                (after.bytes() - before.bytes()) / seconds);
    }
}
