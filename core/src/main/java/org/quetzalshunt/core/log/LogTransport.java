package org.quetzalshunt.core.log;

/**
 * What a session asks of its host. Every call gets exactly one answer, by one of the session's {@code on…} methods on
 * the session's thread, at the latest after the transport's own deadline.
 */
public interface LogTransport {
    /** Appends one batch to a stream; answered by {@code onAppended} or {@code onAppendFailed}. */
    void append(String stream, byte[] batch);

    /**
     * Reads a stream; answered by {@code onRead} or {@code onReadFailed}.
     *
     * @param waitMillis how long the log may hold the answer while it has no record at {@code from}
     */
    void read(String stream, long from, long waitMillis);
}
