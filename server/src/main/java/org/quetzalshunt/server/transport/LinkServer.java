package org.quetzalshunt.server.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import java.net.InetSocketAddress;

/** Takes links from other processes. */
public final class LinkServer {
    private final Channel channel;

    private LinkServer(Channel channel) {
        this.channel = channel;
    }

    /** Binds and starts to take links. */
    public static LinkServer start(
            EventLoopGroup group, InetSocketAddress address, LinkSettings settings, LinkListener listener) {
        Channel channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new LinkPipeline(settings, listener, false))
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return new LinkServer(channel);
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
