package org.quetzalshunt.server.http;

import io.netty.channel.Channel;

/**
 * A pooled connection.
 *
 * @param idleSinceMillis time at which its last response ended
 * @param keepAliveMillis time for which its server keeps it open while idle, as far as stated
 */
record IdleConnection(Channel channel, long idleSinceMillis, long keepAliveMillis) {
    /** Value of {@code keepAliveMillis} when the server states none. */
    static final long UNSTATED = Long.MAX_VALUE;

    /** A request sent within this time before the server closes the connection may not be read any more. */
    private static final long MARGIN_MILLIS = 500;

    /**
     * Whether a request may be sent on the connection.
     *
     * @param reuseMillis longest idle time if the server states no keep-alive time; 0 forbids reuse
     */
    boolean isUsable(long nowMillis, long reuseMillis) {
        long age = nowMillis - idleSinceMillis;
        boolean stated = keepAliveMillis != UNSTATED;
        boolean withinLimit = stated ? age < keepAliveMillis - MARGIN_MILLIS : age <= reuseMillis;
        return channel.isActive() && reuseMillis > 0 && withinLimit;
    }
}
