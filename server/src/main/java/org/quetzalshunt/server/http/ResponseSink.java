package org.quetzalshunt.server.http;

import java.util.Map;

/** Where an answer goes: to a caller's connection, or to another entry that holds the connection. */
public interface ResponseSink {
    /** Sends a whole answer. */
    void respond(int status, Map<String, String> headers, byte[] body);

    /** Sends status and headers of an answer whose length is not known yet. */
    void begin(int status, Map<String, String> headers);

    /** Sends a part of the body, after {@link #begin}. */
    void write(byte[] data);

    /** Ends the answer whole, after {@link #begin}. */
    void end();

    /** Breaks the answer off in a way that the receiver notices: the end mark is never sent. */
    void abort();

    /** Runs once when the receiver goes away before the answer ended. */
    void onClose(Runnable action);

    /** Whether {@link #begin} or {@link #respond} was called. */
    boolean started();

    /** Whether the answer ended or the receiver is gone. */
    boolean finished();
}
