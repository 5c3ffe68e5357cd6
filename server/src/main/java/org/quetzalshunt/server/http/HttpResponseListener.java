package org.quetzalshunt.server.http;

import io.netty.handler.codec.http.HttpHeaders;

/** Hears one answer, on the event loop: a head, chunks, then exactly one of end and failure. */
public interface HttpResponseListener {
    /** Status and headers came. */
    void onHead(int status, HttpHeaders headers);

    /** A part of the body came. */
    void onChunk(byte[] data);

    /** The answer ended whole. */
    void onEnd();

    /**
     * No whole answer will come.
     *
     * @param requestMayHaveArrived false only when no byte of the request can have left this process
     */
    void onFailure(String reason, boolean requestMayHaveArrived);
}
