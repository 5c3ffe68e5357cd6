package org.quetzalshunt.server.http;

import java.util.Map;

/** Destination of a response: the connection of a caller, or another entry that holds that connection. */
public interface ResponseSink {
    /** Sends a complete response. */
    void respond(int status, Map<String, String> headers, byte[] body);

    /** Sends the status and headers of a response of unknown length. */
    void begin(int status, Map<String, String> headers);

    /** Sends a part of the body, after {@link #begin}. */
    void write(byte[] data);

    /** Completes the response, after {@link #begin}. */
    void end();

    /** Aborts the response in a way that the receiver notices: the final chunk is never sent. */
    void abort();

    /** Registers an action that runs once if the receiver disconnects before the response ended. */
    void onClose(Runnable action);

    /** Whether {@link #begin} or {@link #respond} was called. */
    boolean started();

    /** Whether the response ended or the receiver disconnected. */
    boolean finished();
}
