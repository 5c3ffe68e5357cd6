package org.quetzalshunt.server.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;
import org.tinylog.Logger;

/** Takes links from other processes. */
public final class LinkServer {
    private final Channel channel;

    private LinkServer(Channel channel) {
        this.channel = channel;
    }

    /** Binds and starts to take links; not to be called on the event loop, since it waits. */
    public static LinkServer start(
            EventLoopGroup group, InetSocketAddress address, LinkSettings settings, LinkListener listener) {
        return new LinkServer(
                bind(group, address, settings, listener).syncUninterruptibly().channel());
    }

    /** Binds without waiting, for callers on the event loop; a taken address is logged, and no link comes. */
    public static void startLater(
            EventLoopGroup group, InetSocketAddress address, LinkSettings settings, LinkListener listener) {
        bind(group, address, settings, listener).addListener(bound -> {
            if (!bound.isSuccess()) {
                Logger.error(bound.cause(), "cannot take links at {}", address);
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
                .childHandler(new LinkPipeline(settings, listener, false))
                .bind(address);
    }

    /** Port in use, also when port 0 was asked for. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Takes no new links; those open stay. */
    public void close() {
        channel.close();
    }
}
