package org.quetzalshunt.server.http;

import io.netty.handler.codec.http.HttpHeaders;

/** Receives one response on the event loop: the head, any chunks, then exactly one of end and failure. */
public interface HttpResponseListener {
    /** Called with the status and headers. */
    void onHead(int status, HttpHeaders headers);

    /** Called with a part of the body. */
    void onChunk(byte[] data);

    /** Called when the response is complete. */
    void onEnd();

    /**
     * Called when the response will not complete.
     *
     * @param requestMayHaveArrived false only when no byte of the request can have left this process
     */
    void onFailure(String reason, boolean requestMayHaveArrived);
}
