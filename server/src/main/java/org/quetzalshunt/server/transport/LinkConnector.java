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

/** Keeps one link open to each wanted address, connecting again with a growing delay. Runs on the event loop. */
public final class LinkConnector {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final long FIRST_DELAY_MILLIS = 100;
    private static final long LARGEST_DELAY_MILLIS = 2_000;

    private final EventLoopGroup group;
    private final LinkSettings settings;
    private final LinkListener listener;
    private final Map<InetSocketAddress, Wanted> wanted = new HashMap<>();

    private LinkConnector(EventLoopGroup group, LinkSettings settings, LinkListener listener) {
        this.group = group;
        this.settings = settings;
        this.listener = listener;
    }

    /** Makes a connector that wants no link yet. */
    public static LinkConnector create(EventLoopGroup group, LinkSettings settings, LinkListener listener) {
        return new LinkConnector(group, settings, listener);
    }

    /** Sets the addresses to which a link is wanted; links to others are closed. */
    public void want(Set<InetSocketAddress> addresses) {
        for (InetSocketAddress address : Set.copyOf(wanted.keySet())) {
            if (!addresses.contains(address)) {
                wanted.remove(address).close();
            }
        }
        for (InetSocketAddress address : addresses) {
            if (!wanted.containsKey(address)) {
                Wanted link = new Wanted(address);
                wanted.put(address, link);
                link.connect();
            }
        }
    }

    private final class Wanted {
        private final InetSocketAddress address;
        private long delayMillis = FIRST_DELAY_MILLIS;
        private boolean closed;
        private Channel channel;

        Wanted(InetSocketAddress address) {
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
                    .handler(new LinkPipeline(settings, listener, true))
                    .connect(address);
            connecting.addListener(result -> connected(connecting));
        }

        private void connected(ChannelFuture connecting) {
            if (!connecting.isSuccess()) {
                connectLater();
                return;
            }
            channel = connecting.channel();
            if (closed) {
                channel.close();
                return;
            }
            delayMillis = FIRST_DELAY_MILLIS;
            channel.closeFuture().addListener(gone -> connectLater());
        }

        private void connectLater() {
            if (closed) {
                return;
            }
            group.next().schedule(this::connect, delayMillis, TimeUnit.MILLISECONDS);
            delayMillis = Math.min(LARGEST_DELAY_MILLIS, delayMillis * 2);
        }

        void close() {
            closed = true;
            if (channel != null) {
                channel.close();
            }
        }
    }
}
