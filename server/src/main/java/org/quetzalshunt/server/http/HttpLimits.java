package org.quetzalshunt.server.http;

/**
 * Bounds of a server.
 *
 * @param maximumHeaderBytes all headers of a request together
 * @param maximumBodyBytes body of a request
 * @param idleMillis time in which a request must arrive whole, and a connection may rest between requests
 * @param maximumConnections connections open at once
 */
public record HttpLimits(int maximumHeaderBytes, int maximumBodyBytes, long idleMillis, int maximumConnections) {
    /** Values that hold a turn of 170,000 tokens of history (about 1 MB of JSON) with room to spare. */
    public static HttpLimits defaults() {
        return new HttpLimits(16 * 1024, 8 * 1024 * 1024, 30_000, 4_096);
    }
}
