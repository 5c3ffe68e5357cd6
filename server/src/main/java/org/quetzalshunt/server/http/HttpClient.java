package org.quetzalshunt.server.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import jdk.net.ExtendedSocketOptions;

/**
 * HTTP/1.1 client with a pool of connections per address. Not thread-safe: all methods must be called on its event
 * loop.
 *
 * <p>A server can close a pooled connection just as a request is sent on it. The client does not repeat such a request
 * but reports that it may have arrived; the caller decides whether to repeat it.
 */
public final class HttpClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int MAXIMUM_IDLE_PER_ADDRESS = 64;

    /** Value of {@link CallTimeouts#maximumIdleMillis} for a connection that carries one request only. */
    private static final long NEW_CONNECTION = 0;

    /**
     * TCP keep-alive settings. An idle connection whose peer has lost power or is unreachable is detected after three
     * seconds: one second idle and two probes. Without keep-alive, it would not be detected. The platform asks its
     * users for short keep-alive intervals.
     */
    private static final int KEEP_ALIVE_IDLE_SECONDS = 1;

    private static final int KEEP_ALIVE_INTERVAL_SECONDS = 1;
    private static final int KEEP_ALIVE_PROBES = 2;

    private final EventLoopGroup group;
    private final Map<InetSocketAddress, Deque<IdleConnection>> idle = new HashMap<>();
    private final UnmatchedResponses unmatched = new UnmatchedResponses();
    private long connectionsOpened;
    private int openConnections;

    private HttpClient(EventLoopGroup group) {
        this.group = group;
    }

    /**
     * Creates a client.
     *
     * @param group group with exactly one event loop
     */
    public static HttpClient create(EventLoopGroup group) {
        return new HttpClient(group);
    }

    /**
     * Sends a request whose response carries no id, with the default connect timeout. It has a connection of its own,
     * which is closed after the response: on one that carried another request, a repeated response to that request could
     * not be told from the response to this one.
     */
    public HttpCall send(
            InetSocketAddress address,
            String method,
            String uri,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis,
            HttpResponseListener listener) {
        HttpHeaders all = new DefaultHttpHeaders();
        headers.forEach(all::set);
        all.set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        CallTimeouts times = new CallTimeouts(CONNECT_TIMEOUT_MILLIS, timeoutMillis, NEW_CONNECTION);
        OutboundRequest request = new OutboundRequest(address, method, uri, all, body, Optional.empty());
        return send(request, times, ResponseMatcher.ANY, listener);
    }

    /**
     * Sends a request; the listener receives the response.
     *
     * @param matcher matches responses to the request. Responses to other requests are ignored: a faulty server may
     *     send a second response to an earlier request on the connection.
     */
    public HttpCall send(
            OutboundRequest outbound, CallTimeouts times, ResponseMatcher matcher, HttpResponseListener listener) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.valueOf(outbound.method()),
                outbound.uri(),
                Unpooled.wrappedBuffer(outbound.body()),
                outbound.headers().copy(),
                DefaultHttpHeadersFactory.trailersFactory().newHeaders());
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, outbound.body().length);
        InetSocketAddress address = outbound.address();
        boolean isPooled = times.maximumIdleMillis() != NEW_CONNECTION;
        HttpCall.Release release = isPooled
                ? (channel, keepAliveMillis) -> release(address, channel, keepAliveMillis)
                : (channel, keepAliveMillis) -> channel.close();
        HttpCall call = HttpCall.create(listener, outbound.id(), matcher, release);
        Channel pooled = isPooled ? takeIdle(address, times.maximumIdleMillis(), outbound.id()) : null;
        if (pooled != null) {
            call.start(pooled, request, times.responseMillis());
            return call;
        }
        connect(address, request, times, call);
        return call;
    }

    /** Checks whether an address accepts a connection. */
    public void probe(InetSocketAddress address, long connectMillis, Consumer<Boolean> listener) {
        connectionsOpened++;
        ChannelFuture connecting = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectMillis)
                .handler(new ChannelInboundHandlerAdapter())
                .connect(address);
        connecting.addListener(result -> {
            connecting.channel().close();
            listener.accept(result.isSuccess());
        });
    }

    /**
     * Closes the connections that are idle now. Connections in use are returned to the pool as usual when their calls
     * end.
     */
    public void close() {
        idle.values()
                .forEach(connections ->
                        connections.forEach(each -> each.channel().close()));
        idle.clear();
    }

    /** Number of attempts to open a connection since the start, including failed ones and probes. */
    public long connectionsOpened() {
        return connectionsOpened;
    }

    /** Counts of the responses that no request was waiting for. */
    public UnmatchedResponses unmatched() {
        return unmatched;
    }

    /** Number of open connections, in use and idle. */
    public int openConnections() {
        return openConnections;
    }

    /**
     * Closes idle connections, those of an address that were idle longest first.
     *
     * @return number of connections closed
     */
    public long closeIdle(long maximum) {
        long closed = 0;
        for (Deque<IdleConnection> connections : idle.values()) {
            while (closed < maximum && !connections.isEmpty()) {
                Channel channel = connections.pollFirst().channel();
                closed += channel.isOpen() ? 1 : 0;
                channel.close();
            }
        }
        return closed;
    }

    private void countOpen(Channel channel) {
        openConnections++;
        channel.closeFuture().addListener(closed -> openConnections--);
    }

    private void connect(InetSocketAddress address, DefaultFullHttpRequest request, CallTimeouts times, HttpCall call) {
        connectionsOpened++;
        ChannelFuture connecting = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_KEEPALIVE, true)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEP_ALIVE_IDLE_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEP_ALIVE_INTERVAL_SECONDS)
                .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEP_ALIVE_PROBES)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) times.connectMillis())
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        ProgressLimit limit = new ProgressLimit();
                        HttpCallHandler handler = new HttpCallHandler(address, unmatched, limit);
                        ResponseDecoder decoder = new ResponseDecoder(handler);
                        handler.setDecoder(decoder);
                        channel.pipeline()
                                .addLast(limit)
                                .addLast(decoder)
                                .addLast(new HttpRequestEncoder())
                                .addLast(handler);
                    }
                })
                .connect(address);
        connecting.addListener(result -> {
            if (!result.isSuccess()) {
                request.release();
                call.fail("cannot connect: " + result.cause().getMessage(), false);
                return;
            }
            countOpen(connecting.channel());
            call.start(connecting.channel(), request, times.responseMillis());
        });
    }

    /**
     * Takes the idle connection that was used last, other than those that have carried a request with the same id: a
     * repeated response to that request may be received at any later time. It would be taken for the response to this
     * one, and a rejection that is received so leads to another send of a request that is running.
     */
    private Channel takeIdle(InetSocketAddress address, long maximumIdleMillis, Optional<String> id) {
        Deque<IdleConnection> connections = idle.get(address);
        if (connections == null) {
            return null;
        }
        long now = nowMillis();
        for (Iterator<IdleConnection> each = connections.descendingIterator(); each.hasNext(); ) {
            IdleConnection connection = each.next();
            if (!connection.isUsable(now, maximumIdleMillis)) {
                each.remove();
                connection.channel().close();
            } else if (id.isEmpty() || mayCarry(connection, id.get())) {
                each.remove();
                return connection.channel();
            }
        }
        if (!connections.isEmpty()) {
            // The new connection replaces one: requests that wait for a full server would fill the pool otherwise.
            connections.removeFirst().channel().close();
        }
        return null;
    }

    private static boolean mayCarry(IdleConnection connection, String id) {
        return connection.channel().pipeline().get(HttpCallHandler.class).mayCarry(id);
    }

    private void release(InetSocketAddress address, Channel channel, long keepAliveMillis) {
        Deque<IdleConnection> connections = idle.computeIfAbsent(address, ignored -> new ArrayDeque<>());
        if (!channel.isActive() || connections.size() >= MAXIMUM_IDLE_PER_ADDRESS) {
            channel.close();
            return;
        }
        connections.addLast(new IdleConnection(channel, nowMillis(), keepAliveMillis));
    }

    private static long nowMillis() {
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
    }
}
