package org.quetzalshunt.core.log;

/**
 * Asynchronous access to the log service. Each call is answered exactly once, unless it is abandoned, by one of
 * the session's {@code on…} methods on the session's thread, at the latest after the transport's own deadline.
 */
public interface LogTransport {
    /** Appends one batch to a stream; answered by {@code onAppended} or {@code onAppendFailed}. */
    void append(String stream, byte[] batch);

    /**
     * Reads a stream; answered by {@code onRead} or {@code onReadFailed}.
     *
     * @param from first offset to read
     * @param waitMillis how long the log may delay its answer while it has no entry at {@code from}
     */
    void read(String stream, long from, long waitMillis);

    /** Drops the answer of the pending read of a stream, so that another read can start. */
    void abandonRead(String stream);
}
