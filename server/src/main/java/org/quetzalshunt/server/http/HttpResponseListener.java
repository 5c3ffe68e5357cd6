package org.quetzalshunt.server.http;

import io.netty.handler.codec.http.HttpHeaders;

/**
 * Receives one response on the event loop: the head, any chunks, and the end. A failure can occur at any point before
 * the end, also before the head, and is then the last event. After {@link HttpCall#cancel}, no method is called.
 */
public interface HttpResponseListener {
    /** Called when the server has not read the request at once; its body is held in memory. */
    default void onRequestUnread() {}

    /** Called when the server has read the request, after {@link #onRequestUnread}. */
    default void onRequestRead() {}

    /** Called with the status and headers. */
    void onHead(int status, HttpHeaders headers);

    /** Called with a part of the body. */
    void onChunk(byte[] data);

    /**
     * Whether the response is larger than the listener accepts. The connection is closed then, and the call fails: the
     * rest of the response may be without end.
     */
    default boolean exceedsLimit() {
        return false;
    }

    /**
     * Called before {@link #onFailure} when the bytes received are no response. A head that was passed on before belongs to
     * none either: what it states does not hold.
     */
    default void onMalformed() {}

    /** Called when the response is complete. */
    void onEnd();

    /**
     * Called when the request failed or the response is incomplete.
     *
     * @param requestMayHaveArrived false if the request was certainly not sent
     */
    void onFailure(String reason, boolean requestMayHaveArrived);
}
