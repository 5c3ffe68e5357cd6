package org.quetzalshunt.core.limit;

/**
 * Times of the fleet's limits. Every VM of a fleet must run with the same lease.
 *
 * @param leaseMillis time for which a VM may use its parts after its last proof that it is still a member
 * @param listLagMillis maximum lag of the platform's VM list
 * @param waitMillis longest time for which a request waits for tokens
 */
public record LimitSettings(long leaseMillis, long listLagMillis, long waitMillis) {

    /**
     * Three seconds. This is long enough that a log read or a peer's confirmation, due each second, may fail twice, and
     * short enough that a crashed entry's part is unavailable for about four seconds only.
     */
    private static final long DEFAULT_LEASE_MILLIS = 3_000;

    /** Ten seconds: twice the observed lag of the platform's VM list, see docs/design/membership.md. */
    private static final long DEFAULT_LIST_LAG_MILLIS = 10_000;

    /**
     * A caller does not notice 200 ms before a model's first token, and tokens of other entries arrive well within that
     * time.
     */
    private static final long DEFAULT_WAIT_MILLIS = 200;

    /**
     * How much faster one VM's clock may run than another's, in thousandths: ten times the maximum slew rate of NTP.
     */
    private static final long CLOCK_DRIFT_PER_THOUSAND = 5;

    /** Margin for the granularity of clocks and ticks. */
    private static final long CLOCK_GRANULARITY_MILLIS = 50;

    /** The values for a fleet within one region. */
    public static LimitSettings defaults() {
        return new LimitSettings(DEFAULT_LEASE_MILLIS, DEFAULT_LIST_LAG_MILLIS, DEFAULT_WAIT_MILLIS);
    }

    /**
     * Time by this VM's clock after which another VM's lease has certainly expired by that VM's clock, if its last
     * proof is no newer than now.
     */
    long expiryWaitMillis() {
        return leaseMillis + leaseMillis * CLOCK_DRIFT_PER_THOUSAND / 1_000 + CLOCK_GRANULARITY_MILLIS;
    }
}
