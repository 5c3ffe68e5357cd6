package org.quetzalshunt.server.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import org.tinylog.Logger;

/** Accepts links from other processes. */
public final class LinkServer {
    private final Channel channel;

    private LinkServer(Channel channel) {
        this.channel = channel;
    }

    /** Binds and starts to accept links. Blocks, so it must not be called on the event loop. */
    public static LinkServer start(
            EventLoopGroup group, InetSocketAddress address, LinkSettings settings, LinkListener listener) {
        return new LinkServer(
                bind(group, address, settings, listener).syncUninterruptibly().channel());
    }

    /**
     * Binds without blocking, for callers on the event loop. A failure to bind is logged, and no link is then accepted.
     */
    public static void startAsync(
            EventLoopGroup group, InetSocketAddress address, LinkSettings settings, LinkListener listener) {
        bind(group, address, settings, listener).addListener(bound -> {
            if (!bound.isSuccess()) {
                Logger.error(bound.cause(), "cannot listen for links at {}", address);
            }
        });
    }

    private static ChannelFuture bind(
            EventLoopGroup group, InetSocketAddress address, LinkSettings settings, LinkListener listener) {
        return new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new LinkChannelInitializer(settings, listener, false))
                .bind(address);
    }

    /** Bound port, also when port 0 was requested. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Accepts no new links; open links continue. */
    public void close() {
        channel.close();
    }
}
