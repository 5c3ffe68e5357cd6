package org.quetzalshunt.server.http;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * HTTP/1.1 client with a pool of connections per address. All calls are made on its event loop.
 *
 * <p>A pooled connection can be closed by its server at the moment it is used again. The client does not repeat such
 * a request: the caller hears that it may have arrived, and decides.
 */
public final class HttpClient {
    private static final int CONNECT_TIMEOUT_MILLIS = 2_000;
    private static final int MAXIMUM_IDLE_PER_ADDRESS = 64;

    private final EventLoopGroup group;
    private final Map<InetSocketAddress, Deque<Channel>> idle = new HashMap<>();

    private HttpClient(EventLoopGroup group) {
        this.group = group;
    }

    /** Makes a client on a group of one event loop. */
    public static HttpClient create(EventLoopGroup group) {
        return new HttpClient(group);
    }

    /** Sends a request; the listener hears what comes of it. */
    public HttpCall send(
            InetSocketAddress address,
            String method,
            String uri,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis,
            HttpResponseListener listener) {
        DefaultFullHttpRequest request = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1, HttpMethod.valueOf(method), uri, Unpooled.wrappedBuffer(body));
        headers.forEach((name, value) -> request.headers().set(name, value));
        request.headers().set(HttpHeaderNames.HOST, address.getHostString() + ":" + address.getPort());
        request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.length);
        HttpCall call = HttpCall.create(listener, channel -> release(address, channel));
        Channel pooled = takeIdle(address);
        if (pooled != null) {
            call.start(pooled, request, timeoutMillis);
            return call;
        }
        connect(address, request, timeoutMillis, call);
        return call;
    }

    /** Drops every idle connection. */
    public void close() {
        idle.values().forEach(channels -> channels.forEach(Channel::close));
        idle.clear();
    }

    private void connect(InetSocketAddress address, DefaultFullHttpRequest request, long timeout, HttpCall call) {
        ChannelFuture connecting = new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpClientCodec()).addLast(new HttpCallHandler());
                    }
                })
                .connect(address);
        connecting.addListener(result -> {
            if (!result.isSuccess()) {
                request.release();
                call.fail("cannot connect: " + result.cause().getMessage(), false);
                return;
            }
            call.start(connecting.channel(), request, timeout);
        });
    }

    private Channel takeIdle(InetSocketAddress address) {
        Deque<Channel> channels = idle.get(address);
        if (channels == null) {
            return null;
        }
        for (Channel channel = channels.pollLast(); channel != null; channel = channels.pollLast()) {
            if (channel.isActive()) {
                return channel;
            }
        }
        return null;
    }

    private void release(InetSocketAddress address, Channel channel) {
        Deque<Channel> channels = idle.computeIfAbsent(address, ignored -> new ArrayDeque<>());
        if (!channel.isActive() || channels.size() >= MAXIMUM_IDLE_PER_ADDRESS) {
            channel.close();
            return;
        }
        channels.addLast(channel);
    }
}
