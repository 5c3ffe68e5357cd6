package org.quetzalshunt.server.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.quetzalshunt.core.memory.MemoryHolder;
import org.quetzalshunt.core.memory.MemoryUse;

/** One request and its response. Used on the event loop of the connection only. */
public final class HttpExchange implements ResponseSink {
    private static final String BEARER = "Bearer ";

    private final ChannelHandlerContext context;
    private final ConnectionMemory memory;
    private final String method;
    private final QueryStringDecoder target;
    private final HttpHeaders headers;
    private final byte[] body;
    private boolean keepAlive;
    private final ExchangeConnection connection;
    private final List<Runnable> closeActions = new ArrayList<>();
    private boolean started;
    private boolean finished;
    private Consumer<Boolean> writabilityListener = writable -> {};
    private Optional<DisconnectCause> disconnectCause = Optional.empty();
    private Optional<PendingExchange> pending = Optional.empty();

    private HttpExchange(
            ChannelHandlerContext context,
            ConnectionMemory memory,
            FullHttpRequest request,
            ExchangeConnection connection) {
        this.context = context;
        this.memory = memory;
        this.method = request.method().name();
        this.target = new QueryStringDecoder(request.uri());
        this.headers = request.headers().copy();
        this.body = ByteBufUtil.getBytes(request.content());
        this.keepAlive = HttpUtil.isKeepAlive(request);
        this.connection = connection;
        memory.holder().hold(MemoryUse.BODIES, body.length);
    }

    static HttpExchange of(
            ChannelHandlerContext context,
            ConnectionMemory memory,
            FullHttpRequest request,
            ExchangeConnection connection) {
        return new HttpExchange(context, memory, request, connection);
    }

    /** Method, such as {@code POST}. */
    public String method() {
        return method;
    }

    /** Decoded path without the query. */
    public String path() {
        return target.path();
    }

    /** Path with the query, as received. */
    public String uri() {
        return target.uri();
    }

    /** First value of a query parameter. */
    public Optional<String> query(String name) {
        List<String> values = target.parameters().get(name);
        return values == null || values.isEmpty() ? Optional.empty() : Optional.of(values.get(0));
    }

    /** Value of a header; the name is case-insensitive. */
    public Optional<String> header(String name) {
        return Optional.ofNullable(headers.get(name));
    }

    /**
     * Bearer token (RFC 6750, section 2.1), which may be an empty text; no value if the request has no bearer token.
     */
    public Optional<String> bearerToken() {
        return header("authorization")
                .filter(value -> value.regionMatches(true, 0, BEARER, 0, BEARER.length()))
                .map(value -> value.substring(BEARER.length()).trim());
    }

    /** All headers in the order in which they were received. */
    public List<Map.Entry<String, String>> headers() {
        return headers.entries();
    }

    /** All headers as received; must not be modified. */
    public HttpHeaders rawHeaders() {
        return headers;
    }

    /** Closes the connection after the response. Must be called before the response begins. */
    public void closeAfterAnswer() {
        keepAlive = false;
    }

    /** Body as received. */
    public byte[] body() {
        return body;
    }

    @Override
    public void respond(int status, Map<String, String> responseHeaders, byte[] data) {
        respond(status, headersOf(responseHeaders), data);
    }

    /** Sends a complete response with headers that may repeat; sets the length and connection headers. */
    public void respond(int status, HttpHeaders responseHeaders, byte[] data) {
        if (finished || started) {
            return;
        }
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(data));
        response.headers().set(responseHeaders);
        response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, data.length);
        setConnectionHeader(response);
        started = true;
        finish();
        writeAndMaybeClose(response, data.length);
    }

    /** Sends a complete JSON response. */
    public void respondJson(int status, String json) {
        respond(status, Map.of("content-type", "application/json"), json.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a complete plain-text response. */
    public void respondText(int status, String text) {
        respond(status, Map.of("content-type", "text/plain; charset=utf-8"), text.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void begin(int status, Map<String, String> responseHeaders) {
        begin(status, headersOf(responseHeaders));
    }

    /** Sends the status and headers that may repeat; sets the framing and connection headers. */
    public void begin(int status, HttpHeaders responseHeaders) {
        if (finished || started) {
            return;
        }
        HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
        response.headers().set(responseHeaders);
        HttpUtil.setTransferEncodingChunked(response, true);
        setConnectionHeader(response);
        started = true;
        memory.write(context, response, 0);
    }

    @Override
    public void write(byte[] data) {
        if (finished || !started || data.length == 0) {
            return;
        }
        ByteBuf content = Unpooled.wrappedBuffer(data);
        memory.write(context, new DefaultHttpContent(content), data.length);
    }

    @Override
    public void end() {
        if (finished || !started) {
            return;
        }
        finish();
        writeAndMaybeClose(LastHttpContent.EMPTY_LAST_CONTENT, 0);
    }

    @Override
    public void abort() {
        if (finished) {
            return;
        }
        finish();
        context.close();
    }

    @Override
    public void onClose(Runnable action) {
        closeActions.add(action);
    }

    @Override
    public boolean started() {
        return started;
    }

    @Override
    public boolean finished() {
        return finished;
    }

    /** Memory held for the caller's connection. */
    public MemoryHolder memory() {
        return memory.holder();
    }

    /**
     * Registers a listener, in place of the previous one, that receives false when the caller's connection accepts no
     * more data, and true when it does again. Data that is written meanwhile is held in memory.
     */
    public void onWritability(Consumer<Boolean> listener) {
        writabilityListener = listener;
    }

    /** Whether the caller's connection accepts data; see {@link #onWritability}. */
    public boolean isWritable() {
        return context.channel().isWritable();
    }

    /** Why this server disconnected the caller; empty if it did not. */
    public Optional<DisconnectCause> disconnectCause() {
        return disconnectCause;
    }

    /** Describes, in place of an earlier description, what is done with the request until it has its final response. */
    public void setPending(PendingExchange description) {
        pending = Optional.of(description);
    }

    /** The handler's description of the request; empty once it has its final response. */
    Optional<PendingExchange> pending() {
        return finished ? Optional.empty() : pending;
    }

    void writabilityChanged(boolean writable) {
        if (!finished) {
            writabilityListener.accept(writable);
        }
    }

    /** Ends the exchange at once, so that nothing more is read for it. */
    void disconnect(DisconnectCause cause) {
        disconnectCause = Optional.of(cause);
        connectionClosed();
    }

    void connectionClosed() {
        if (finished) {
            return;
        }
        finish();
        closeActions.forEach(Runnable::run);
    }

    private static HttpHeaders headersOf(Map<String, String> map) {
        HttpHeaders converted = new DefaultHttpHeaders();
        map.forEach(converted::set);
        return converted;
    }

    private void finish() {
        finished = true;
        memory.holder().release(MemoryUse.BODIES, body.length);
        connection.onExchangeEnd();
    }

    /** Decided with the head of the response, since the server may have begun to stop after the request arrived. */
    private void setConnectionHeader(HttpResponse response) {
        keepAlive = keepAlive && !connection.endsWithResponse();
        response.headers()
                .set(HttpHeaderNames.CONNECTION, keepAlive ? HttpHeaderValues.KEEP_ALIVE : HttpHeaderValues.CLOSE);
    }

    private void writeAndMaybeClose(Object message, long bytes) {
        ChannelFuture written = memory.write(context, message, bytes);
        if (keepAlive) {
            return;
        }
        connection.closeAfter(written);
    }
}
