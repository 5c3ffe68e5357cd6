package org.quetzalshunt.server.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses on a client connection, and tells whether bytes were received that belong to none of its requests.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private final HttpCallHandler handler;

    ResponseDecoder(HttpCallHandler handler) {
        this.handler = handler;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (!handler.isWaiting()) {
            handler.onBytesWhileIdle(context);
        }
        super.channelRead(context, message);
    }

    /** Whether bytes were received behind the message that was decoded last. */
    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return handler.isWithoutBody() || super.isContentAlwaysEmpty(message);
    }
}
