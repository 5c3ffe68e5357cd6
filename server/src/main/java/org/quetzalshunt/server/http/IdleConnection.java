package org.quetzalshunt.server.http;

import io.netty.channel.Channel;

/**
 * A pooled connection.
 *
 * @param idleSinceMillis time at which its last response ended
 * @param keepAliveMillis keep-alive time stated by the server; {@link #UNSTATED} if there is none
 */
record IdleConnection(Channel channel, long idleSinceMillis, long keepAliveMillis) {
    /** Value of {@code keepAliveMillis} when the server states none. */
    static final long UNSTATED = Long.MAX_VALUE;

    /**
     * The connection is not reused this close to the end of its keep-alive time, because the server may close it
     * before it reads the request.
     */
    private static final long MARGIN_MILLIS = 500;

    /**
     * Whether a request may be sent on the connection.
     *
     * @param maximumIdleMillis maximum idle time if the server states no keep-alive time; 0 forbids reuse
     */
    boolean isUsable(long nowMillis, long maximumIdleMillis) {
        long age = nowMillis - idleSinceMillis;
        boolean stated = keepAliveMillis != UNSTATED;
        boolean withinLimit = stated ? age < keepAliveMillis - MARGIN_MILLIS : age <= maximumIdleMillis;
        return channel.isActive() && maximumIdleMillis > 0 && withinLimit;
    }
}
