package org.quetzalshunt.server.http;

/** Whether a response on a connection belongs to the request that waits on it. */
public enum ResponseMatch {
    /** The response belongs to the request. */
    OWN,
    /** The response belongs to another request, to which it is a second response. */
    FOREIGN,
    /**
     * The response does not tell. It is accepted on a new connection, where nothing else can be received, and on no
     * other one.
     */
    UNIDENTIFIED
}
