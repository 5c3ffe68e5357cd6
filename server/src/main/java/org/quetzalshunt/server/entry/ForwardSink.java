package org.quetzalshunt.server.entry;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.quetzalshunt.server.http.ResponseSink;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.ForwardChunk;
import org.quetzalshunt.wire.generated.ForwardEnd;
import org.quetzalshunt.wire.generated.ForwardHead;
import org.quetzalshunt.wire.generated.Message;

/** The owner's way to a caller whose connection another entry holds. */
final class ForwardSink implements ResponseSink {
    private final PeerLink link;
    private final long exchange;
    private final Runnable whenFinished;
    private final List<Runnable> closeActions = new ArrayList<>();
    private int sequence;
    private boolean started;
    private boolean finished;

    ForwardSink(PeerLink link, long exchange, Runnable whenFinished) {
        this.link = link;
        this.exchange = exchange;
        this.whenFinished = whenFinished;
    }

    @Override
    public void respond(int status, Map<String, String> headers, byte[] body) {
        begin(status, headers);
        write(body);
        end();
    }

    @Override
    public void begin(int status, Map<String, String> headers) {
        if (started || finished) {
            return;
        }
        started = true;
        link.send(Message.forwardHead(new ForwardHead(exchange, status, headers)));
    }

    @Override
    public void write(byte[] data) {
        if (!finished && started && data.length > 0) {
            link.send(Message.forwardChunk(new ForwardChunk(exchange, sequence++, ByteBuffer.wrap(data))));
        }
    }

    @Override
    public void end() {
        finish(true);
    }

    @Override
    public void abort() {
        finish(false);
    }

    private void finish(boolean whole) {
        if (finished) {
            return;
        }
        finished = true;
        link.send(Message.forwardEnd(new ForwardEnd(exchange, sequence, whole)));
        whenFinished.run();
    }

    /** The entry at the other end is gone, or says that its caller is. */
    void closed() {
        if (finished) {
            return;
        }
        finished = true;
        whenFinished.run();
        closeActions.forEach(Runnable::run);
    }

    PeerLink link() {
        return link;
    }

    @Override
    public void onClose(Runnable action) {
        closeActions.add(action);
    }

    @Override
    public boolean started() {
        return started;
    }

    @Override
    public boolean finished() {
        return finished;
    }
}
