package org.quetzalshunt.server.sidecar;

import org.quetzalshunt.core.attempt.GateSettings;

/**
 * Intervals and time limits of a sidecar, in milliseconds.
 *
 * @param loadPollMillis interval between polls of the engine's load while attempts run or it does not answer
 * @param idlePollMillis the same interval while no attempt runs; the load then changes only through this process
 * @param pollTimeoutMillis time after which a request to the engine that carries no attempt counts as failed
 * @param reportMillis interval between reports to an entry while attempts run and nothing changes; one second while
 *     none runs
 * @param quickReportMillis shortest interval between reports when something changes
 * @param drainMillis longest time for which a planned stop waits for running attempts
 * @param graceMillis time for which a repeatable attempt continues without a receiver
 * @param rolloutWindowMillis time over which the engines of a fleet spread the switch to a new version of a model
 * @param cacheLeaseMillis lease time that entries request; cache entries found at the start are kept for that long
 */
public record SidecarTimes(
        long loadPollMillis,
        long idlePollMillis,
        long pollTimeoutMillis,
        long reportMillis,
        long quickReportMillis,
        long drainMillis,
        long graceMillis,
        long rolloutWindowMillis,
        long cacheLeaseMillis) {
    private static final long LOAD_POLL_MILLIS = 250;
    private static final long IDLE_POLL_MILLIS = 1_000;
    private static final long POLL_TIMEOUT_MILLIS = 1_000;
    private static final long REPORT_MILLIS = 500;
    private static final long QUICK_REPORT_MILLIS = 50;

    /** The default deadline of a request, so that every request accepted before the stop can end. */
    private static final long DRAIN_MILLIS = 60_000;

    /** Short enough for a document to take effect everywhere within seconds, plus the time of the loads themselves. */
    private static final long ROLLOUT_WINDOW_MILLIS = 10_000;

    /** The default times. */
    public static SidecarTimes defaults() {
        return new SidecarTimes(
                LOAD_POLL_MILLIS,
                IDLE_POLL_MILLIS,
                POLL_TIMEOUT_MILLIS,
                REPORT_MILLIS,
                QUICK_REPORT_MILLIS,
                DRAIN_MILLIS,
                GateSettings.DEFAULT_GRACE_MILLIS,
                ROLLOUT_WINDOW_MILLIS,
                GateSettings.DEFAULT_ORPHAN_CACHE_MILLIS);
    }

    /** A copy with another limit on the drain of a planned stop. */
    public SidecarTimes withDrainMillis(long millis) {
        return new SidecarTimes(
                loadPollMillis,
                idlePollMillis,
                pollTimeoutMillis,
                reportMillis,
                quickReportMillis,
                millis,
                graceMillis,
                rolloutWindowMillis,
                cacheLeaseMillis);
    }

    /** A copy with other times for attempts without a receiver and for cache entries without a lease. */
    public SidecarTimes withGraceAndLease(long grace, long cacheLease) {
        return new SidecarTimes(
                loadPollMillis,
                idlePollMillis,
                pollTimeoutMillis,
                reportMillis,
                quickReportMillis,
                drainMillis,
                grace,
                rolloutWindowMillis,
                cacheLease);
    }

    /** A copy with another rollout window. */
    public SidecarTimes withRolloutWindowMillis(long millis) {
        return new SidecarTimes(
                loadPollMillis,
                idlePollMillis,
                pollTimeoutMillis,
                reportMillis,
                quickReportMillis,
                drainMillis,
                graceMillis,
                millis,
                cacheLeaseMillis);
    }
}
