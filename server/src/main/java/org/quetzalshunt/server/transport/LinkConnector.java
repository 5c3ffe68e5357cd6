package org.quetzalshunt.server.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/** Keeps one link open to each configured address and reconnects with an increasing delay. Used on the event loop. */
public final class LinkConnector {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long INITIAL_DELAY_MILLIS = 100;
    private static final long MAXIMUM_DELAY_MILLIS = 2_000;

    private final EventLoopGroup group;
    private final LinkSettings settings;
    private final LinkListener listener;
    private final Map<InetSocketAddress, ReconnectingLink> links = new HashMap<>();

    private LinkConnector(EventLoopGroup group, LinkSettings settings, LinkListener listener) {
        this.group = group;
        this.settings = settings;
        this.listener = listener;
    }

    /** Creates a connector without addresses. */
    public static LinkConnector create(EventLoopGroup group, LinkSettings settings, LinkListener listener) {
        return new LinkConnector(group, settings, listener);
    }

    /** Sets the addresses to keep links to; closes the links to all others. */
    public void setAddresses(Set<InetSocketAddress> addresses) {
        for (InetSocketAddress address : Set.copyOf(links.keySet())) {
            if (!addresses.contains(address)) {
                links.remove(address).close();
            }
        }
        for (InetSocketAddress address : addresses) {
            if (!links.containsKey(address)) {
                ReconnectingLink link = new ReconnectingLink(address);
                links.put(address, link);
                link.connect();
            }
        }
    }

    private final class ReconnectingLink {
        private final InetSocketAddress address;
        private long delayMillis = INITIAL_DELAY_MILLIS;
        private boolean closed;
        private Channel channel;

        ReconnectingLink(InetSocketAddress address) {
            this.address = address;
        }

        void connect() {
            if (closed) {
                return;
            }
            ChannelFuture connecting = new Bootstrap()
                    .group(group)
                    .channel(NioSocketChannel.class)
                    .option(ChannelOption.TCP_NODELAY, true)
                    .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                    .handler(new LinkChannelInitializer(settings, listener, true))
                    .connect(address);
            connecting.addListener(result -> connected(connecting));
        }

        private void connected(ChannelFuture connecting) {
            if (!connecting.isSuccess()) {
                scheduleConnect();
                return;
            }
            channel = connecting.channel();
            if (closed) {
                channel.close();
                return;
            }
            delayMillis = INITIAL_DELAY_MILLIS;
            channel.closeFuture().addListener(gone -> scheduleConnect());
        }

        private void scheduleConnect() {
            if (closed) {
                return;
            }
            group.next().schedule(this::connect, delayMillis, TimeUnit.MILLISECONDS);
            delayMillis = Math.min(MAXIMUM_DELAY_MILLIS, delayMillis * 2);
        }

        void close() {
            closed = true;
            if (channel != null) {
                channel.close();
            }
        }
    }
}
