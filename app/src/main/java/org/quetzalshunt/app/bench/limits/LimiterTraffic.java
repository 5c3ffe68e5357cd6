package org.quetzalshunt.app.bench.limits;

import java.util.SplittableRandom;

/** Measures the limiter's messages and processor time for each entry at a given number of entries and accounts. */
final class LimiterTraffic {
    private static final long WARM_UP_MILLIS = 8_000;
    private static final long MEASURED_MILLIS = 20_000;
    private static final double RATE = 10;
    private static final double BURST = 50;

    /** A fifth of the rate, as in an hour of usual load. */
    private static final double REQUESTS_PER_SECOND = 2;

    private LimiterTraffic() {}

    /**
     * Mean cost of the limiter for one entry.
     *
     * @param entries number of entries
     * @param accounts number of accounts
     * @param requestsPerSecond requests per second of all accounts at all entries
     * @param messagesPerSecond messages per second sent by one entry
     * @param bytesPerSecond octets per second sent by one entry
     * @param processorMillisPerSecond processor time per second of one entry's limiter
     */
    record EntryMeans(
            int entries,
            int accounts,
            double requestsPerSecond,
            double messagesPerSecond,
            double bytesPerSecond,
            double processorMillisPerSecond) {}

    /**
     * Measures the limiter with each request sent to a random entry, which is the worst case for a limiter that moves
     * tokens to the entries with demand.
     */
    static EntryMeans measure(int entries, int accounts, boolean idle, long seed) {
        VirtualTime time = new VirtualTime();
        Limiter limiter = new EscrowLimiter(time, new Limiter.Parameters(entries, accounts, RATE, BURST, seed));
        SplittableRandom random = new SplittableRandom(seed);
        double requestsPerSecond = idle ? 0 : accounts * REQUESTS_PER_SECOND;
        if (!idle) {
            scheduleRequests(time, limiter, random, entries, accounts, 1_000 / requestsPerSecond, 0);
        }
        time.advanceTo(WARM_UP_MILLIS);
        Limiter.Cost before = limiter.cost();
        time.advanceTo(WARM_UP_MILLIS + MEASURED_MILLIS);
        Limiter.Cost after = limiter.cost();
        double entrySeconds = entries * MEASURED_MILLIS / 1_000.0;
        return new EntryMeans(
                entries,
                accounts,
                requestsPerSecond,
                (after.messages() - before.messages()) / entrySeconds,
                (after.bytes() - before.bytes()) / entrySeconds,
                (after.processorNanos() - before.processorNanos()) / 1e6 / entrySeconds);
    }

    private static void scheduleRequests(
            VirtualTime time,
            Limiter limiter,
            SplittableRandom random,
            int entries,
            int accounts,
            double intervalMillis,
            double carriedMillis) {
        long delayMillis = (long) (intervalMillis + carriedMillis);
        time.runAfter(delayMillis, () -> {
            limiter.request(random.nextInt(entries), random.nextInt(accounts), answer -> {});
            scheduleRequests(
                    time,
                    limiter,
                    random,
                    entries,
                    accounts,
                    intervalMillis,
                    intervalMillis + carriedMillis - delayMillis);
        });
    }
}
