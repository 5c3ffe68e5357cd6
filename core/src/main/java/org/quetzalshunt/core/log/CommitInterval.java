package org.quetzalshunt.core.log;

/** Computes the commit interval that keeps the appends of a whole deployment below the log's rate limit. */
public final class CommitInterval {
    /** Appends per second of all nodes together. The log accepts several hundred; the rest is left for retries. */
    private static final int TARGET_APPENDS_PER_SECOND = 200;

    /** A shorter interval has no benefit, because an append itself takes some milliseconds. */
    private static final long MINIMUM_INTERVAL_MILLIS = 5;

    private static final long MILLIS_PER_SECOND = 1_000;

    private CommitInterval() {}

    /**
     * Computes the interval for each stream of each node, in milliseconds.
     *
     * @param appendingNodes number of nodes that append
     * @param streamsPerNode number of streams that each of them appends to
     */
    public static long forNodes(int appendingNodes, int streamsPerNode) {
        long appenders = Math.max(1L, appendingNodes) * Math.max(1, streamsPerNode);
        long interval = (appenders * MILLIS_PER_SECOND + TARGET_APPENDS_PER_SECOND - 1) / TARGET_APPENDS_PER_SECOND;
        return Math.max(MINIMUM_INTERVAL_MILLIS, interval);
    }
}
