package org.quetzalshunt.server.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Set;

/** A listening HTTP/1.1 server on an event loop that its owner gives it. */
public final class HttpServer {
    private static final int MAXIMUM_INITIAL_LINE_BYTES = 4_096;
    private static final int MAXIMUM_CHUNK_BYTES = 64 * 1024;

    private final Channel channel;
    private final Set<Channel> connections;

    private HttpServer(Channel channel, Set<Channel> connections) {
        this.channel = channel;
        this.connections = connections;
    }

    /** Binds and starts to serve; a taken address fails with a {@link java.net.BindException}, unchecked by Netty. */
    public static HttpServer start(
            EventLoopGroup group, InetSocketAddress address, HttpLimits limits, HttpHandler handler) {
        Set<Channel> connections = new HashSet<>();
        Channel channel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_BACKLOG, 1_024)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel connection) {
                        connection
                                .pipeline()
                                .addLast(new HttpServerCodec(strict(limits)))
                                .addLast(new RequestArrivalTimeout(limits.idleMillis()))
                                .addLast(new HttpObjectAggregator(limits.maximumBodyBytes()))
                                .addLast(new HttpConnection(limits, handler, connections));
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return new HttpServer(channel, connections);
    }

    /**
     * Rejects what two parsers could read differently: a length beside a chunked body, several lengths, bare line
     * feeds. Guards against a second request hidden inside another's body, which would run under the outer one's key.
     */
    private static HttpDecoderConfig strict(HttpLimits limits) {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAXIMUM_INITIAL_LINE_BYTES)
                .setMaxHeaderSize(limits.maximumHeaderBytes())
                .setMaxChunkSize(MAXIMUM_CHUNK_BYTES)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true);
    }

    /** Port in use, also when port 0 was asked for. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Connections open now. Call on the event loop. */
    public int connections() {
        return connections.size();
    }

    /** Takes no new connections; those open go on. */
    public void stopAccepting() {
        channel.close();
    }

    /** Closes the connections on which no request is under way. Call on the event loop. */
    public void closeIdle() {
        for (Channel connection : Set.copyOf(connections)) {
            HttpConnection handler = connection.pipeline().get(HttpConnection.class);
            if (handler != null && handler.idle()) {
                connection.close();
            }
        }
    }

    /** Takes no new connections and breaks those open, on the event loop, where connections come and go. */
    public void close() {
        if (channel.eventLoop().isShuttingDown()) {
            return;
        }
        channel.eventLoop().execute(() -> {
            channel.close();
            Set.copyOf(connections).forEach(Channel::close);
        });
    }
}
