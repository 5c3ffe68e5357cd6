package org.quetzalshunt.server.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;

/** An HTTP/1.1 server on an event loop supplied by its owner. */
public final class HttpServer {
    private static final int MAXIMUM_INITIAL_LINE_BYTES = 4_096;
    private static final int MAXIMUM_CHUNK_BYTES = 64 * 1024;

    /**
     * Send buffer of a connection while memory is limited: enough for 16 MB/s at a round trip of 2 ms. The system's
     * buffers grow to megabytes for each caller that does not read, and count as memory of the VM.
     */
    private static final int LIMITED_SEND_BUFFER_BYTES = 32 * 1024;

    private final Channel channel;
    private final Set<Channel> connections;

    private HttpServer(Channel channel, Set<Channel> connections) {
        this.channel = channel;
        this.connections = connections;
    }

    /**
     * Binds and starts to serve; throws a {@link java.net.BindException}, unchecked through Netty, when the address is
     * taken.
     */
    public static HttpServer start(
            EventLoopGroup group, InetSocketAddress address, HttpLimits limits, HttpHandler handler) {
        return start(group, address, limits, handler, CallerMemory.unlimited());
    }

    /** Binds and starts to serve, like the method above, within limits on the memory held for callers. */
    public static HttpServer start(
            EventLoopGroup group,
            InetSocketAddress address,
            HttpLimits limits,
            HttpHandler handler,
            CallerMemory memory) {
        return start(group, address, limits, handler, memory, () -> ConnectionReuse.ALLOWED);
    }

    /**
     * Binds and starts to serve, like the method above.
     *
     * @param reuse whether callers may send further requests on their connections, asked with each response
     */
    public static HttpServer start(
            EventLoopGroup group,
            InetSocketAddress address,
            HttpLimits limits,
            HttpHandler handler,
            CallerMemory memory,
            Supplier<ConnectionReuse> reuse) {
        return start(group, address, limits, handler, memory, reuse, pipeline -> {});
    }

    /**
     * Binds and starts to serve, with callers that may send further requests on their connections.
     *
     * @param extension adds handlers to the pipeline of each connection, such as faults of a stand-in
     */
    public static HttpServer start(
            EventLoopGroup group,
            InetSocketAddress address,
            HttpLimits limits,
            HttpHandler handler,
            Consumer<ChannelPipeline> extension) {
        CallerMemory memory = CallerMemory.unlimited();
        return start(group, address, limits, handler, memory, () -> ConnectionReuse.ALLOWED, extension);
    }

    private static HttpServer start(
            EventLoopGroup group,
            InetSocketAddress address,
            HttpLimits limits,
            HttpHandler handler,
            CallerMemory memory,
            Supplier<ConnectionReuse> reuse,
            Consumer<ChannelPipeline> extension) {
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
                        if (memory.isEnabled()) {
                            connection.config().setSendBufferSize(LIMITED_SEND_BUFFER_BYTES);
                        }
                        ConnectionMemory connectionMemory = new ConnectionMemory(memory);
                        HttpConnection requests =
                                new HttpConnection(limits, handler, connections, connectionMemory, reuse);
                        connection
                                .pipeline()
                                .addLast(new HttpServerCodec(strict(limits)))
                                .addLast(new RequestArrivalTimeout(limits.requestTimeoutMillis(), requests))
                                .addLast(new RequestBodyMeter(connectionMemory, limits.maximumBodyBytes()))
                                .addLast(new RequestAggregator(limits.maximumBodyBytes(), requests))
                                .addLast(requests);
                        extension.accept(connection.pipeline());
                    }
                })
                .bind(address)
                .syncUninterruptibly()
                .channel();
        return new HttpServer(channel, connections);
    }

    /**
     * Rejects requests that two parsers could read differently: a length together with a chunked body, several lengths,
     * bare line feeds. Guards against request smuggling: a second request hidden in the body of another, which would
     * run under the key of the outer one.
     */
    private static HttpDecoderConfig strict(HttpLimits limits) {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(MAXIMUM_INITIAL_LINE_BYTES)
                .setMaxHeaderSize(limits.maximumHeaderBytes())
                .setMaxChunkSize(MAXIMUM_CHUNK_BYTES)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true);
    }

    /** Bound port, also when port 0 was requested. */
    public int port() {
        return ((InetSocketAddress) channel.localAddress()).getPort();
    }

    /** Number of open connections. Call on the event loop. */
    public int connections() {
        return connections.size();
    }

    /** Requests in progress that their handler has described. Call on the event loop. */
    public List<PendingExchange> pending() {
        return connections.stream()
                .flatMap(connection -> handler(connection).stream())
                .flatMap(handler -> handler.pending().stream())
                .toList();
    }

    /** Ends the requests in progress that their handler has described. Call on the event loop. */
    public void endPending() {
        pending().forEach(request -> request.end().run());
    }

    private static Optional<HttpConnection> handler(Channel connection) {
        return Optional.ofNullable(connection.pipeline().get(HttpConnection.class));
    }

    /** Accepts no new connections; open ones continue. */
    public void stopAccepting() {
        channel.close();
    }

    /** Closes the connections without a request in progress. Call on the event loop. */
    public void closeIdle() {
        for (Channel connection : Set.copyOf(connections)) {
            handler(connection).ifPresent(HttpConnection::closeIfIdle);
        }
    }

    /**
     * Accepts no new connections and closes the open ones. Runs on the event loop, which also opens and removes
     * connections.
     */
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
