package org.quetzalshunt.server.log;

import io.netty.handler.codec.http.HttpHeaders;
import java.io.ByteArrayOutputStream;
import org.quetzalshunt.server.http.HttpResponseListener;

/** Gathers an answer of bounded size and hands it on once. */
final class WholeAnswer implements HttpResponseListener {
    /** Hears the one end of a call. */
    interface Receiver {
        void onAnswer(int status, byte[] body);

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

    static WholeAnswer to(Receiver receiver, int maximumBytes) {
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
