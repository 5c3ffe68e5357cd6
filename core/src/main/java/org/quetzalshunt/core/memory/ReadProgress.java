package org.quetzalshunt.core.memory;

/**
 * Whether a caller still reads what was sent to it. A caller that has stopped would keep its response in memory until
 * its deadline or, after the response is complete, for as long as its connection stays open.
 */
public final class ReadProgress {
    /** Time without any progress after which a caller is disconnected. */
    public static final long LIMIT_MILLIS = 2_000;

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
        }
    }

    /** Time without progress. */
    public long stalledMillis(long nowMillis) {
        return nowMillis - sinceMillis;
    }

    /** Whether the caller has read nothing for longer than the limit. */
    public boolean isTooSlow(long nowMillis) {
        return stalledMillis(nowMillis) > LIMIT_MILLIS;
    }
}
