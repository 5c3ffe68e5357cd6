package org.quetzalshunt.core.log;

/** The commit interval that keeps the appends of a whole deployment under the log's cap. */
public final class CommitInterval {
    /** Appends a second of all nodes together; the log takes several hundred, and retries need room. */
    private static final int TARGET_APPENDS_PER_SECOND = 200;

    /** Below this a shorter interval gains nothing: an append itself takes some milliseconds. */
    private static final long SHORTEST_MILLIS = 5;

    private static final long MILLIS_PER_SECOND = 1_000;

    private CommitInterval() {}

    /**
     * Interval for each stream of each node, in milliseconds.
     *
     * @param appendingNodes nodes that append
     * @param streamsPerNode streams that one node appends to
     */
    public static long forNodes(int appendingNodes, int streamsPerNode) {
        long appenders = Math.max(1L, appendingNodes) * Math.max(1, streamsPerNode);
        long interval = (appenders * MILLIS_PER_SECOND + TARGET_APPENDS_PER_SECOND - 1) / TARGET_APPENDS_PER_SECOND;
        return Math.max(SHORTEST_MILLIS, interval);
    }
}
