package org.quetzalshunt.core.log;

/**
 * Settings of one session.
 *
 * @param commitIntervalMillis least time between the starts of two appends, see {@link CommitInterval}
 * @param tail whether the session reads on all the time; otherwise it reads only what lies before its own records,
 *     and when asked to follow
 * @param longPollMillis how long the log may hold the answer of a tailing read
 * @param maximumBatchBytes largest batch, at most what the log takes
 * @param maximumBacklogRecords records that may wait, in flight included
 * @param maximumBacklogBytes octets of records that may wait, in flight included
 * @param seed seed of the jitter
 */
public record StreamSettings(
        long commitIntervalMillis,
        boolean tail,
        long longPollMillis,
        int maximumBatchBytes,
        int maximumBacklogRecords,
        long maximumBacklogBytes,
        long seed) {
    /** The log takes 1 MiB; the rest is room for the frame. */
    private static final int MAXIMUM_BATCH_BYTES = 1_000_000;

    private static final long LONG_POLL_MILLIS = 1_000;
    private static final int BACKLOG_RECORDS = 10_000;
    private static final long BACKLOG_BYTES = 64L * 1024 * 1024;

    /** A session that follows its stream all the time. */
    public static StreamSettings tailing(long commitIntervalMillis, long seed) {
        return new StreamSettings(
                commitIntervalMillis,
                true,
                LONG_POLL_MILLIS,
                MAXIMUM_BATCH_BYTES,
                BACKLOG_RECORDS,
                BACKLOG_BYTES,
                seed);
    }

    /** A session that reads only when it has to. */
    public static StreamSettings onDemand(long commitIntervalMillis, long seed) {
        return new StreamSettings(
                commitIntervalMillis, false, 0, MAXIMUM_BATCH_BYTES, BACKLOG_RECORDS, BACKLOG_BYTES, seed);
    }
}
