package org.quetzalshunt.server.transport;

import io.netty.channel.Channel;
import org.quetzalshunt.wire.generated.Message;

/** One open link. Used on its event loop only. */
public final class PeerLink {
    private final Channel channel;
    private final LinkIdentity remote;

    private PeerLink(Channel channel, LinkIdentity remote) {
        this.channel = channel;
        this.remote = remote;
    }

    static PeerLink of(Channel channel, LinkIdentity remote) {
        return new PeerLink(channel, remote);
    }

    /** Who is at the other end, as it proved when the link opened. */
    public LinkIdentity remote() {
        return remote;
    }

    /** Sends a message; nothing tells whether it arrives. */
    public void send(Message message) {
        channel.writeAndFlush(message);
    }

    /** Whether messages can be sent. */
    public boolean isOpen() {
        return channel.isActive();
    }

    /** Whether the other side keeps up; false while more than Netty's high-water mark is unsent. */
    public boolean isWritable() {
        return channel.isWritable();
    }

    /** Closes the link after what was sent before. */
    public void close() {
        channel.close();
    }
}
