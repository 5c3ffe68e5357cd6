package org.quetzalshunt.server.http;

import io.netty.channel.Channel;

/** A pooled connection, and until when its server keeps it open as far as known. */
record IdleConnection(Channel channel, long sinceMillis, long keepMillis) {
    /** A request sent this long before the server closes the connection could still cross the close. */
    private static final long MARGIN_MILLIS = 500;

    boolean usable(long nowMillis, long reuseMillis) {
        long age = nowMillis - sinceMillis;
        return channel.isActive() && age <= reuseMillis && age < keepMillis - MARGIN_MILLIS;
    }
}
