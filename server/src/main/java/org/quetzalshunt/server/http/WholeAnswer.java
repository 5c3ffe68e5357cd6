package org.quetzalshunt.server.http;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;

/** Gathers an answer of bounded size and hands it on once. */
public final class WholeAnswer implements HttpResponseListener {
    /** Hears the one end of a call. */
    public interface Receiver {
        /** The whole answer. */
        void onAnswer(int status, byte[] body);

        /** No whole answer; see {@link HttpResponseListener#onFailure}. */
        void onFailure(String reason, boolean requestMayHaveArrived);
    }

    private final Receiver receiver;
    private final int maximumBytes;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private boolean tooLarge;

    private WholeAnswer(Receiver receiver, int maximumBytes) {
        this.receiver = receiver;
        this.maximumBytes = maximumBytes;
    }

    /** Makes a listener that answers the receiver once. */
    public static WholeAnswer to(Receiver receiver, int maximumBytes) {
        return new WholeAnswer(receiver, maximumBytes);
    }

    @Override
    public void onHead(int answerStatus, HttpHeaders headers) {
        status = answerStatus;
    }

    @Override
    public void onChunk(byte[] data) {
        tooLarge = tooLarge || body.size() + data.length > maximumBytes;
        if (!tooLarge) {
            body.writeBytes(data);
        }
    }

    @Override
    public void onEnd() {
        if (tooLarge) {
            receiver.onFailure("the answer is larger than " + maximumBytes + " octets", true);
            return;
        }
        receiver.onAnswer(status, body.toByteArray());
    }

    @Override
    public void onFailure(String reason, boolean requestMayHaveArrived) {
        receiver.onFailure(reason, requestMayHaveArrived);
    }
}
