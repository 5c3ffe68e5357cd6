package org.quetzalshunt.server.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.TooLongFrameException;

/**
 * Fails a client connection on which a server sends many bytes without a part of the response that a request waits for:
 * responses to other requests, interim responses, or bytes that are no response. The codec and the handlers behind it
 * skip these without a limit, so that a server that sends them without end would hold a request until its deadline.
 */
final class ProgressLimit extends ChannelInboundHandlerAdapter {
    /** Several times the size of a usual response, a second copy of which may be received late. */
    static final int MAXIMUM_BYTES = 1 << 20;

    private long bytesSinceProgress;

    /** Called when a part of a response was passed to the request that waits for it. */
    void onProgress() {
        bytesSinceProgress = 0;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        bytesSinceProgress += message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
        context.fireChannelRead(message);
        if (bytesSinceProgress > MAXIMUM_BYTES) {
            bytesSinceProgress = 0;
            context.fireExceptionCaught(
                    new TooLongFrameException("more than " + MAXIMUM_BYTES + " bytes that belong to no request"));
        }
    }
}
