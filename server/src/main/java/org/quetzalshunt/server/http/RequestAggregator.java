package org.quetzalshunt.server.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.TooLongHttpContentException;

/**
 * Collects whole requests. A request that is too large is passed on as one that could not be decoded, without its body,
 * and interim responses are left to the connection: what is written here would precede the response to a request that is
 * in progress, and the caller would take a rejection for that response.
 */
final class RequestAggregator extends HttpObjectAggregator {
    private final int maximumBodyBytes;
    private final HttpConnection connection;

    RequestAggregator(int maximumBodyBytes, HttpConnection connection) {
        super(maximumBodyBytes);
        this.maximumBodyBytes = maximumBodyBytes;
        this.connection = connection;
    }

    /** Other expectations than {@code 100-continue} are ignored (RFC 9110, section 10.1.1). */
    @Override
    protected Object newContinueResponse(HttpMessage start, int maximumBytes, ChannelPipeline pipeline) {
        boolean awaited = HttpUtil.is100ContinueExpected(start) && !isContentLengthInvalid(start, maximumBytes);
        start.headers().remove(HttpHeaderNames.EXPECT);
        if (awaited) {
            connection.onContinueAwaited();
        }
        return null;
    }

    @Override
    protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
        HttpRequest request = (HttpRequest) oversized;
        DefaultFullHttpRequest rejected = new DefaultFullHttpRequest(
                request.protocolVersion(),
                request.method(),
                request.uri(),
                Unpooled.EMPTY_BUFFER,
                request.headers().copy(),
                DefaultHttpHeadersFactory.trailersFactory().newHeaders());
        rejected.setDecoderResult(DecoderResult.failure(
                new TooLongHttpContentException("the body is larger than " + maximumBodyBytes + " bytes")));
        context.fireChannelRead(rejected);
    }
}
