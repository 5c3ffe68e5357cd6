package org.quetzalshunt.server.http;

import io.netty.channel.Channel;

/** A pooled connection, and until when its server keeps it open as far as known. */
record IdleConnection(Channel channel, long sinceMillis, long keepMillis) {
    /** Time that a server keeps an idle connection if it states none. */
    static final long UNSTATED = Long.MAX_VALUE;

    /** A request sent this long before the server closes the connection could still cross the close. */
    private static final long MARGIN_MILLIS = 500;

    /**
     * Whether a request may be sent on it.
     *
     * @param reuseMillis longest rest where the server does not state how long it keeps an idle connection; 0 for none at all
     */
    boolean usable(long nowMillis, long reuseMillis) {
        long age = nowMillis - sinceMillis;
        boolean stated = keepMillis != UNSTATED;
        boolean rested = stated ? age < keepMillis - MARGIN_MILLIS : age <= reuseMillis;
        return channel.isActive() && reuseMillis > 0 && rested;
    }
}
