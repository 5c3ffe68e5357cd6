package org.quetzalshunt.core.log;

/**
 * Settings of a {@link StreamSession}.
 *
 * @param commitIntervalMillis minimum time between the starts of two appends, see {@link CommitInterval}
 * @param tail whether the session reads continuously; otherwise it reads only when that is needed to resolve its own
 *     appends or was requested by {@link StreamSession#requestReadToEnd}
 * @param longPollMillis how long the log may delay its answer to a tailing read while there is no new record
 * @param maximumBatchBytes maximum size of a batch, within the log's limit
 * @param maximumBacklogRecords maximum number of unsettled records, including those in flight
 * @param maximumBacklogBytes maximum total size of unsettled records, including those in flight
 * @param seed seed of the back-off jitter
 */
public record StreamSettings(
        long commitIntervalMillis,
        boolean tail,
        long longPollMillis,
        int maximumBatchBytes,
        int maximumBacklogRecords,
        long maximumBacklogBytes,
        long seed) {
    /** The log accepts 1 MiB; the difference leaves room for the frame. */
    private static final int MAXIMUM_BATCH_BYTES = 1_000_000;

    private static final long LONG_POLL_MILLIS = 1_000;
    private static final int MAXIMUM_BACKLOG_RECORDS = 10_000;
    private static final long MAXIMUM_BACKLOG_BYTES = 64L * 1024 * 1024;

    /** Settings of a session that reads its stream continuously. */
    public static StreamSettings tailing(long commitIntervalMillis, long seed) {
        return new StreamSettings(
                commitIntervalMillis,
                true,
                LONG_POLL_MILLIS,
                MAXIMUM_BATCH_BYTES,
                MAXIMUM_BACKLOG_RECORDS,
                MAXIMUM_BACKLOG_BYTES,
                seed);
    }

    /** Settings of a session that reads only when necessary. */
    public static StreamSettings onDemand(long commitIntervalMillis, long seed) {
        return new StreamSettings(
                commitIntervalMillis,
                false,
                0,
                MAXIMUM_BATCH_BYTES,
                MAXIMUM_BACKLOG_RECORDS,
                MAXIMUM_BACKLOG_BYTES,
                seed);
    }
}
