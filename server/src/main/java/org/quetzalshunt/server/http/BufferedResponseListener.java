package org.quetzalshunt.server.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;

/** Buffers a response of limited size and passes it to the receiver once. */
public final class BufferedResponseListener implements HttpResponseListener {
    /** Receives the result of a call, exactly once unless the call is cancelled. */
    public interface Receiver {
        /** Called with the complete response. */
        void onAnswer(int status, byte[] body);

        /** Called when no complete response is available; see {@link HttpResponseListener#onFailure}. */
        void onFailure(String reason, boolean requestMayHaveArrived);
    }

    private final Receiver receiver;
    private final int maximumBytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private boolean tooLarge;

    private BufferedResponseListener(Receiver receiver, int maximumBytes) {
        this.receiver = receiver;
        this.maximumBytes = maximumBytes;
    }

    /** Creates a listener that passes the result to the receiver. */
    public static BufferedResponseListener to(Receiver receiver, int maximumBytes) {
        return new BufferedResponseListener(receiver, maximumBytes);
    }

    @Override
    public void onHead(int responseStatus, HttpHeaders headers) {
        status = responseStatus;
    }

    @Override
    public void onChunk(byte[] data) {
        tooLarge = tooLarge || body.size() + data.length > maximumBytes;
        if (!tooLarge) {
            body.writeBytes(data);
        }
    }

    @Override
    public boolean exceedsLimit() {
        return tooLarge;
    }

    @Override
    public void onEnd() {
        receiver.onAnswer(status, body.toByteArray());
    }

    @Override
    public void onFailure(String reason, boolean requestMayHaveArrived) {
        String detail = tooLarge ? "response is larger than " + maximumBytes + " bytes" : reason;
        receiver.onFailure(detail, requestMayHaveArrived);
    }
}
