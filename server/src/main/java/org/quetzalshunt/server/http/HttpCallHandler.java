package org.quetzalshunt.server.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tinylog.Logger;

/** Passes the responses on a client connection to the call that currently uses it. */
final class HttpCallHandler extends SimpleChannelInboundHandler<HttpObject> {
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");
    private static final long MILLIS_PER_SECOND = 1_000;

    /** Interim responses to one request. They are short, so that many fit into the limit on bytes. */
    private static final int MAXIMUM_INTERIM_RESPONSES = 32;

    private final InetSocketAddress server;
    private final UnmatchedResponses unmatched;
    private final ProgressLimit limit;
    private HttpCall call;
    private final CarriedRequests carried = new CarriedRequests();
    private ResponseDecoder decoder;
    private int requests;
    private int interimResponses;
    private boolean keepAlive;
    private long keepAliveMillis = IdleConnection.UNSTATED;
    /** Whether the response being read is interim or belongs to another request. */
    private boolean skippingResponse;
    /** Whether the response states no end and has no body so far: a cut after its head would look like its end. */
    private boolean mayBeCut;
    /**
     * Whether a response to another request was received, after which responses can no longer be matched to requests.
     */
    private boolean outOfSync;
    /** Whether bytes that belong to no request were received, and have not been recorded with a head of their own. */
    private boolean hasExtraBytes;

    HttpCallHandler(InetSocketAddress server, UnmatchedResponses unmatched, ProgressLimit limit) {
        this.server = server;
        this.unmatched = unmatched;
        this.limit = limit;
    }

    void attach(HttpCall newCall) {
        requests++;
        interimResponses = 0;
        newCall.requestId().ifPresent(carried::add);
        call = newCall;
    }

    /** Registers the decoder of the connection. */
    void setDecoder(ResponseDecoder newDecoder) {
        decoder = newDecoder;
    }

    /** Whether a request waits for its response or the rest of it. */
    boolean isWaiting() {
        return call != null;
    }

    /** Whether the response that is read next has no body, whatever its head states. */
    boolean isWithoutBody() {
        return call != null && call.isWithoutBody();
    }

    /** Closes the connection, on which the beginning of a response would be joined with the next one. */
    void onBytesWhileIdle(ChannelHandlerContext context) {
        hasExtraBytes = true;
        context.close();
    }

    /** Whether a request with the given id may be sent on the connection. */
    boolean mayCarry(String id) {
        return !carried.contains(id);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (call == null) {
            onUnexpected(context, message);
            return;
        }
        if (!message.decoderResult().isSuccess()) {
            onMalformed(context, message.decoderResult().cause());
            return;
        }
        if (message instanceof HttpResponse response) {
            onHead(context, response);
        }
        if (message instanceof HttpContent content && !skippingResponse && call != null) {
            onChunk(content);
        }
        if (message instanceof LastHttpContent) {
            onLast();
        }
    }

    /** Such bytes belong to no request, so that the outcome of the one that waits is unknown. */
    void onMalformed(ChannelHandlerContext context, Throwable cause) {
        if (call == null) {
            context.close();
            return;
        }
        recordUnmatched(context, UnmatchedResponses.Kind.BYTES, Optional.empty());
        String detail = cause instanceof MalformedResponseException ? ": " + cause.getMessage() : "";
        detach().failMalformed("response cannot be decoded" + detail);
    }

    private void onUnexpected(ChannelHandlerContext context, HttpObject message) {
        if (message instanceof HttpResponse response && message.decoderResult().isSuccess()) {
            hasExtraBytes = false;
            recordUnmatched(context, UnmatchedResponses.Kind.UNEXPECTED, Optional.of(response));
        }
        context.close();
    }

    private void onHead(ChannelHandlerContext context, HttpResponse response) {
        if (JoinedHeads.isJoined(response, call.requestId())) {
            recordUnmatched(context, UnmatchedResponses.Kind.BYTES, Optional.empty());
            detach().fail("response joined with the beginning of another one", true);
            return;
        }
        if (response.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
            onInterim();
            return;
        }
        ResponseMatch match = call.match(response.headers());
        if (match == ResponseMatch.UNIDENTIFIED && requests > 1) {
            recordUnmatched(context, UnmatchedResponses.Kind.UNIDENTIFIED, Optional.of(response));
            detach().fail("response without a request id on a reused connection", true);
            return;
        }
        skippingResponse = match == ResponseMatch.FOREIGN;
        if (skippingResponse) {
            recordUnmatched(context, UnmatchedResponses.Kind.FOREIGN, Optional.of(response));
            outOfSync = true;
            return;
        }
        limit.onProgress();
        keepAlive = HttpUtil.isKeepAlive(response);
        keepAliveMillis = keepAliveMillis(response.headers());
        mayBeCut = !call.isWithoutBody() && endsWithConnection(response);
        call.head(response.status().code(), response.headers());
    }

    private void recordUnmatched(
            ChannelHandlerContext context, UnmatchedResponses.Kind kind, Optional<HttpResponse> head) {
        unmatched.record(new UnmatchedResponse(
                kind,
                server,
                connectionUse(context.channel()),
                Optional.ofNullable(call).flatMap(HttpCall::requestId),
                head));
    }

    /** The connection, with the number of its last request. */
    ConnectionUse connectionUse(Channel channel) {
        int port = channel.localAddress() instanceof InetSocketAddress address ? address.getPort() : 0;
        return new ConnectionUse(port, requests);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (hasExtraBytes) {
            hasExtraBytes = false;
            recordUnmatched(context, UnmatchedResponses.Kind.BYTES, Optional.empty());
        }
        context.fireChannelReadComplete();
    }

    /** Whether the body of a success ends with the connection. */
    private static boolean endsWithConnection(HttpResponse response) {
        return response.status().codeClass() == HttpStatusClass.SUCCESS
                && response.status().code() != HttpResponseStatus.NO_CONTENT.code()
                && !HttpUtil.isContentLengthSet(response)
                && !HttpUtil.isTransferEncodingChunked(response);
    }

    private void onInterim() {
        skippingResponse = true;
        interimResponses++;
        if (interimResponses > MAXIMUM_INTERIM_RESPONSES) {
            detach().fail("more than " + MAXIMUM_INTERIM_RESPONSES + " interim responses", true);
        }
    }

    private void onChunk(HttpContent content) {
        if (content.content().isReadable()) {
            limit.onProgress();
            mayBeCut = false;
        }
        if (!call.chunk(ByteBufUtil.getBytes(content.content()))) {
            detach().fail("response exceeds the size limit", true);
        }
    }

    private void onLast() {
        if (skippingResponse) {
            skippingResponse = false;
            return;
        }
        if (call != null && mayBeCut) {
            detach().fail("response has neither a length nor a body", true);
        }
        if (call != null) {
            hasExtraBytes = decoder.hasUnreadBytes();
            detach().end(keepAlive && !outOfSync && !hasExtraBytes && !carried.isFull(), keepAliveMillis);
        }
    }

    private static long keepAliveMillis(HttpHeaders headers) {
        String value = headers.get("keep-alive");
        if (value == null) {
            return IdleConnection.UNSTATED;
        }
        Matcher matcher = KEEP_ALIVE_TIMEOUT.matcher(value);
        return matcher.find() ? Long.parseLong(matcher.group(1)) * MILLIS_PER_SECOND : IdleConnection.UNSTATED;
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (call != null) {
            detach().fail("connection closed before the end of the response", true);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (call != null) {
            detach().fail("connection failed: " + cause.getMessage(), true);
        } else if (cause instanceof RuntimeException) {
            // Thrown by a listener, so a fault of this program and not of the connection.
            Logger.error(cause, "response listener threw an exception");
        }
        context.close();
    }

    private HttpCall detach() {
        HttpCall current = call;
        call = null;
        return current;
    }
}
