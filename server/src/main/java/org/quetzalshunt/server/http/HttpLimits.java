package org.quetzalshunt.server.http;

/**
 * Limits of a server.
 *
 * @param maximumHeaderBytes size of all headers of a request together
 * @param maximumBodyBytes size of the body of a request
 * @param requestTimeoutMillis time in which a request must arrive completely
 * @param maximumConnections connections open at the same time
 */
public record HttpLimits(
        int maximumHeaderBytes, int maximumBodyBytes, long requestTimeoutMillis, int maximumConnections) {
    /** Default limits. A turn with 170,000 tokens of history (about 1 MB of JSON) is well within them. */
    public static HttpLimits defaults() {
        return new HttpLimits(16 * 1024, 8 * 1024 * 1024, 30_000, 4_096);
    }
}
