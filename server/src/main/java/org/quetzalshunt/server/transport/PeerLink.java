package org.quetzalshunt.server.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.util.AttributeKey;
import java.util.function.IntConsumer;
import org.quetzalshunt.wire.generated.Message;

/** An open link to another process. Used on its event loop only. */
public final class PeerLink {
    private static final AttributeKey<IntConsumer> SENT_BYTES = AttributeKey.valueOf(PeerLink.class, "sent-bytes");

    private final Channel channel;
    private final LinkIdentity remote;

    private PeerLink(Channel channel, LinkIdentity remote) {
        this.channel = channel;
        this.remote = remote;
    }

    static PeerLink of(Channel channel, LinkIdentity remote) {
        return new PeerLink(channel, remote);
    }

    /** Identity of the peer, as proved in the handshake. */
    public LinkIdentity remote() {
        return remote;
    }

    /** Sends a message without confirmation of its arrival. */
    public void send(Message message) {
        channel.writeAndFlush(message);
    }

    /** Sets the receiver of the size in bytes of each message that is sent from now on. */
    public void onSentBytes(IntConsumer receiver) {
        channel.attr(SENT_BYTES).set(receiver);
    }

    static void reportSentBytes(Channel channel, int bytes) {
        IntConsumer receiver = channel.attr(SENT_BYTES).get();
        if (receiver != null) {
            receiver.accept(bytes);
        }
    }

    /** Whether the link is still open. */
    public boolean isOpen() {
        return channel.isActive();
    }

    /** Whether the peer reads fast enough; false while the unsent data exceeds the high-water mark of Netty. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Bytes of messages that the peer has not read. */
    public long unreadBytes() {
        ChannelOutboundBuffer pending = channel.unsafe().outboundBuffer();
        return pending == null ? 0 : pending.totalPendingWriteBytes();
    }

    /** Closes the link after the messages sent before. */
    public void close() {
        channel.close();
    }
}
