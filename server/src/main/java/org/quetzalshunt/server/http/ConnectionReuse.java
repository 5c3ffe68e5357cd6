package org.quetzalshunt.server.http;

/** Whether callers may send further requests on the connections of a server. */
public enum ConnectionReuse {
    /** Connections stay open after a response. */
    ALLOWED,
    /** Callers have to move to another server: each response announces that its connection closes after it. */
    ENDS_WITH_RESPONSE,
    /** The server stops: connections also close after a response whose head was sent before it could announce it. */
    ENDED
}
