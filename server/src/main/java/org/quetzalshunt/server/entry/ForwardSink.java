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

/** Sends the response to a forwarded request over a link to the entry that has the caller's connection. */
final class ForwardSink implements ResponseSink {
    private final PeerLink link;
    private final long exchange;
    private final Runnable onFinished;
    private final List<Runnable> closeActions = new ArrayList<>();
    private int sequence;
    private boolean started;
    private boolean finished;

    ForwardSink(PeerLink link, long exchange, Runnable onFinished) {
        this.link = link;
        this.exchange = exchange;
        this.onFinished = onFinished;
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

    private void finish(boolean complete) {
        if (finished) {
            return;
        }
        finished = true;
        link.send(Message.forwardEnd(new ForwardEnd(exchange, sequence, complete)));
        onFinished.run();
    }

    /** The link to the forwarding entry closed, or that entry reported that its caller disconnected. */
    void onPeerClosed() {
        if (finished) {
            return;
        }
        finished = true;
        onFinished.run();
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
