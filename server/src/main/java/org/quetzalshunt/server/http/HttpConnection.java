package org.quetzalshunt.server.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpContentException;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.function.Supplier;
import org.quetzalshunt.core.memory.MemoryUse;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.tinylog.Logger;

/** One server connection. Handles its requests one after the other, so that responses are sent in request order. */
final class HttpConnection extends SimpleChannelInboundHandler<FullHttpRequest> implements ExchangeConnection {
    private static final int MAXIMUM_PIPELINED = 16;

    /** Size of pipelined requests above which no more are read until they run. */
    private static final long MAXIMUM_PIPELINED_BYTES = 64 * 1024;

    private final HttpLimits limits;
    private final HttpHandler handler;
    private final Set<Channel> connections;
    private final ConnectionMemory memory;
    private final Supplier<ConnectionReuse> reuse;
    private final Queue<FullHttpRequest> pipelined = new ArrayDeque<>();
    private ChannelHandlerContext context;
    private GracefulClose close;
    private HttpExchange current;
    private long pipelinedBytes;
    /** Whether a caller holds the body of its next request back until it is told to send it. */
    private boolean continueAwaited;

    HttpConnection(
            HttpLimits limits,
            HttpHandler handler,
            Set<Channel> connections,
            ConnectionMemory memory,
            Supplier<ConnectionReuse> reuse) {
        this.limits = limits;
        this.handler = handler;
        this.connections = connections;
        this.memory = memory;
        this.reuse = reuse;
    }

    @Override
    public void channelActive(ChannelHandlerContext activeContext) {
        context = activeContext;
        close = new GracefulClose(context.channel());
        memory.open(context.channel(), this::onDisconnecting);
        connections.add(context.channel());
        if (connections.size() > limits.maximumConnections() || !memory.admitsConnection()) {
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        connections.remove(context.channel());
        pipelined.forEach(ReferenceCountUtil::release);
        pipelined.clear();
        if (current != null) {
            current.connectionClosed();
        }
        memory.close();
    }

    private void onDisconnecting(DisconnectCause cause) {
        if (current != null) {
            current.disconnect(cause);
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        boolean writable = context.channel().isWritable();
        if (current != null) {
            current.writabilityChanged(writable);
        } else if (writable && !pipelined.isEmpty()) {
            runNext(context);
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        continueAwaited = false;
        if (current != null || !pipelined.isEmpty() || memory.isBlocked()) {
            enqueue(context, request);
            return;
        }
        run(context, request);
    }

    /** Tells the caller to send the body of its next request, after the responses to its requests before. */
    void onContinueAwaited() {
        continueAwaited = true;
        sendContinueIfIdle();
    }

    private void sendContinueIfIdle() {
        if (!continueAwaited || !isIdle() || close.hasBegun()) {
            return;
        }
        continueAwaited = false;
        context.writeAndFlush(
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }

    private boolean isIdle() {
        return current == null && pipelined.isEmpty();
    }

    /** The request in progress, if its handler has described it. */
    Optional<PendingExchange> pending() {
        return Optional.ofNullable(current).flatMap(HttpExchange::pending);
    }

    private void enqueue(ChannelHandlerContext context, FullHttpRequest request) {
        if (pipelined.size() >= MAXIMUM_PIPELINED) {
            context.close();
            return;
        }
        pipelined.add(request.retain());
        pipelinedBytes += request.content().readableBytes();
        memory.holder().hold(MemoryUse.BODIES, request.content().readableBytes());
        if (pipelinedBytes > MAXIMUM_PIPELINED_BYTES && memory.isLimited()) {
            context.channel().config().setAutoRead(false);
        }
    }

    private void run(ChannelHandlerContext context, FullHttpRequest request) {
        current = HttpExchange.of(context, memory, request, this);
        if (!request.decoderResult().isSuccess()) {
            refuse(request.decoderResult().cause());
            return;
        }
        HttpExchange exchange = current;
        try {
            handler.handle(exchange);
        } catch (RuntimeException problem) {
            Logger.error(problem, "request handler threw an exception on {} {}", exchange.method(), exchange.path());
            ErrorBodies.send(exchange, Refusal.notRun(ResultCode.INTERNAL_ERROR, "see this VM's log"), "");
            exchange.abort();
        }
    }

    /** A request that was already read gets a response too, since its caller may not send it again. */
    @Override
    public boolean endsWithResponse() {
        return reuse.get() != ConnectionReuse.ALLOWED && pipelined.isEmpty();
    }

    @Override
    public void onExchangeEnd() {
        context.executor().execute(() -> runNext(context));
    }

    @Override
    public void closeAfter(ChannelFuture written) {
        close.afterResponse(written);
    }

    /** Closes the connection unless it has a request; a response that its caller has not read yet is sent first. */
    void closeIfIdle() {
        if (!isIdle()) {
            return;
        }
        if (hasUnwrittenBytes()) {
            close.withoutReading();
            return;
        }
        if (!close.hasBegun()) {
            context.close();
        }
    }

    /** Whether closing the connection now would lose a response or a part of it. */
    boolean owesResponse() {
        return !isIdle() || hasUnwrittenBytes();
    }

    private boolean hasUnwrittenBytes() {
        ChannelOutboundBuffer buffer = context.channel().unsafe().outboundBuffer();
        return buffer != null && !buffer.isEmpty();
    }

    private void runNext(ChannelHandlerContext context) {
        current = null;
        if (reuse.get() == ConnectionReuse.ENDED && isIdle()) {
            close.withoutReading();
        }
        if (close.hasBegun()) {
            return;
        }
        sendContinueIfIdle();
        if (context.channel().isActive() && memory.isBlocked()) {
            // Continued when the caller has read the previous responses.
            return;
        }
        FullHttpRequest request = pipelined.poll();
        if (request == null || !context.channel().isActive()) {
            ReferenceCountUtil.release(request);
            return;
        }
        dequeued(context, request);
        try {
            run(context, request);
        } finally {
            request.release();
        }
    }

    private void dequeued(ChannelHandlerContext context, FullHttpRequest request) {
        pipelinedBytes -= request.content().readableBytes();
        memory.holder().release(MemoryUse.BODIES, request.content().readableBytes());
        if (pipelinedBytes <= MAXIMUM_PIPELINED_BYTES
                && !context.channel().config().isAutoRead()) {
            context.channel().config().setAutoRead(true);
        }
    }

    private void refuse(Throwable cause) {
        HttpExchange exchange = current;
        exchange.closeAfterAnswer();
        ErrorBodies.send(exchange, refusal(cause), "");
    }

    private static Refusal refusal(Throwable cause) {
        if (cause instanceof TooLongHttpContentException) {
            return Refusal.notRun(ResultCode.BODY_TOO_LARGE, "see the limits page");
        }
        ResultCode code = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException
                ? ResultCode.HEADER_TOO_LARGE
                : ResultCode.MALFORMED_REQUEST;
        return Refusal.notRun(code, "the request could not be decoded");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        context.close();
    }
}
