package org.quetzalshunt.core.memory;

/**
 * Whether a caller still reads what was sent to it. A caller that has stopped would keep its response in memory until
 * its deadline or, after the response is complete, for as long as its connection stays open.
 */
public final class ReadProgress {
    /** Time after which a caller that has read nothing at all is disconnected. */
    public static final long LIMIT_MILLIS = 2_000;

    /**
     * Time without progress after which a caller that has read something is disconnected. The operating system reports
     * progress in large steps: a caller that reads 20 KB per second all the time makes one in three to six seconds.
     */
    public static final long PROGRESS_LIMIT_MILLIS = 6_000;

    /** Time in which the buffers of the operating systems fill, which looks like progress of the caller. */
    private static final long FILL_MILLIS = 500;

    private boolean progressed;
    private long startedMillis;
    private Object firstUnread;
    private long firstUnreadOffset;
    private long sinceMillis;

    /**
     * Starts to observe a caller that has unread data.
     *
     * @param nowMillis time at which the data was sent
     */
    public void start(long nowMillis) {
        firstUnread = null;
        firstUnreadOffset = 0;
        sinceMillis = nowMillis;
        progressed = false;
        startedMillis = nowMillis;
    }

    /**
     * Excludes a time in which this process did not run, since it could not see the caller read.
     *
     * @param millis length of the pause
     */
    public void skip(long millis) {
        sinceMillis += millis;
    }

    /**
     * Records the position up to which the caller has read.
     *
     * @param unread the oldest message that is not read completely, compared by identity
     * @param offset bytes of it that are read
     */
    public void update(long nowMillis, Object unread, long offset) {
        if (unread != firstUnread || offset != firstUnreadOffset) {
            boolean first = firstUnread == null && offset == 0;
            firstUnread = unread;
            firstUnreadOffset = offset;
            sinceMillis = first ? sinceMillis : nowMillis;
            progressed |= !first && nowMillis - startedMillis > FILL_MILLIS;
        }
    }

    /** Time without progress. */
    public long stalledMillis(long nowMillis) {
        return nowMillis - sinceMillis;
    }

    /** Whether the caller has made no progress for longer than the limit. */
    public boolean isTooSlow(long nowMillis) {
        return stalledMillis(nowMillis) > (progressed ? PROGRESS_LIMIT_MILLIS : LIMIT_MILLIS);
    }
}
