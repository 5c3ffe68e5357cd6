package org.quetzalshunt.app.bench.limits;

import java.util.SplittableRandom;

/** What the limits cost each entry, over the number of entries and of accounts. */
final class ControlTraffic {
    private static final long WARM_MILLIS = 8_000;
    private static final long MEASURED_MILLIS = 20_000;
    private static final double RATE = 10;
    private static final double BURST = 50;

    /** A fifth of the rate: a usual hour. */
    private static final double REQUESTS_PER_SECOND = 2;

    private ControlTraffic() {}

    /**
     * Means of one entry.
     *
     * @param entries entries
     * @param accounts accounts
     * @param requestsPerSecond requests of all accounts at all entries
     * @param messagesPerSecond messages sent by one entry
     * @param bytesPerSecond octets sent by one entry
     * @param processorMillisPerSecond processor time of one entry's limits
     */
    record Means(
            int entries,
            int accounts,
            double requestsPerSecond,
            double messagesPerSecond,
            double bytesPerSecond,
            double processorMillisPerSecond) {}

    /** Traffic of all accounts at entries by chance, the worst case for tokens that follow demand. */
    static Means measure(int entries, int accounts, boolean idle, long seed) {
        VirtualTime time = new VirtualTime();
        Limiter limiter = new EscrowLimiter(time, new Limiter.Shape(entries, accounts, RATE, BURST, seed));
        SplittableRandom random = new SplittableRandom(seed);
        double perSecond = idle ? 0 : accounts * REQUESTS_PER_SECOND;
        if (!idle) {
            requests(time, limiter, random, entries, accounts, 1_000 / perSecond, 0);
        }
        time.run(WARM_MILLIS);
        Limiter.Cost before = limiter.cost();
        time.run(WARM_MILLIS + MEASURED_MILLIS);
        Limiter.Cost after = limiter.cost();
        double entrySeconds = entries * MEASURED_MILLIS / 1_000.0;
        return new Means(
                entries,
                accounts,
                perSecond,
                (after.messages() - before.messages()) / entrySeconds,
                (after.bytes() - before.bytes()) / entrySeconds,
                (after.processorNanos() - before.processorNanos()) / 1e6 / entrySeconds);
    }

    private static void requests(
            VirtualTime time,
            Limiter limiter,
            SplittableRandom random,
            int entries,
            int accounts,
            double interval,
            double owed) {
        long wait = (long) (interval + owed);
        time.after(wait, () -> {
            limiter.request(random.nextInt(entries), random.nextInt(accounts), answer -> {});
            requests(time, limiter, random, entries, accounts, interval, interval + owed - wait);
        });
    }
}
