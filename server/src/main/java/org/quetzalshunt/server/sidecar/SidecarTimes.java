package org.quetzalshunt.server.sidecar;

import org.quetzalshunt.core.attempt.GateSettings;

/**
 * Times of a sidecar, in milliseconds.
 *
 * @param loadPollMillis between two questions for the engine's load while attempts run or it does not answer
 * @param idlePollMillis the same while none runs; nothing changes there but by what this process sends
 * @param pollTimeoutMillis after which a question to the engine counts as failed
 * @param reportMillis between two reports to an entry while attempts run and nothing changes; a second while none runs
 * @param quickReportMillis between two reports when something does
 * @param drainMillis how long a planned stop waits for running attempts
 * @param graceMillis how long a repeatable attempt runs on with no receiver
 * @param rolloutWindowMillis time over which the engines of a fleet take up a new version of a model that they serve
 * @param cacheLeaseMillis lease time that entries ask for; cache entries found at the start are left alone that long
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

    /** The default deadline of a request: whatever was taken in before the stop ends within it. */
    private static final long DRAIN_MILLIS = 60_000;

    /** Short enough for a document to be taken up everywhere within seconds; the loads themselves come on top. */
    private static final long ROLLOUT_WINDOW_MILLIS = 10_000;

    /** Values in force where settings are silent. */
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

    /** The same with another bound on a planned stop. */
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

    /** The same with other times for attempts without a receiver and for cache entries without a lease. */
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

    /** The same with another time over which a new version of a model is taken up. */
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
