package org.quetzalshunt.core.limit;

/**
 * Times of the fleet's limits. Every VM of a fleet must run with the same lease.
 *
 * @param leaseMillis time for which a VM may use its parts after it last proved that it still holds them
 * @param listLagMillis time by which the platform's VM list may lag
 * @param waitMillis longest time for which a request waits for tokens
 */
public record LimitSettings(long leaseMillis, long listLagMillis, long waitMillis) {

    /**
     * Three seconds: long enough that a log read or a peer's word, due each second, may fail twice; short enough that a
     * crashed entry's part is missed for about four seconds.
     */
    private static final long DEFAULT_LEASE_MILLIS = 3_000;

    /** Ten seconds: twice the lag that the platform's list shows, see docs/design/membership.md. */
    private static final long DEFAULT_LIST_LAG_MILLIS = 10_000;

    /** A caller does not notice 200 ms before a model's first token, and tokens from any entry arrive well within it. */
    private static final long DEFAULT_WAIT_MILLIS = 200;

    /** How much faster one VM's clock may run than another's, in parts of a thousand: ten times what NTP ever slews by. */
    private static final long CLOCK_DRIFT_PER_THOUSAND = 5;

    /** Slack for the granularity of clocks and ticks. */
    private static final long CLOCK_GRAIN_MILLIS = 50;

    /** The values for a fleet within one region. */
    public static LimitSettings defaults() {
        return new LimitSettings(DEFAULT_LEASE_MILLIS, DEFAULT_LIST_LAG_MILLIS, DEFAULT_WAIT_MILLIS);
    }

    /** Time by this VM's clock after which another VM, whose proof is no newer than now, has stopped by its own clock. */
    long stoppedAfterMillis() {
        return leaseMillis + leaseMillis * CLOCK_DRIFT_PER_THOUSAND / 1_000 + CLOCK_GRAIN_MILLIS;
    }
}
