package org.quetzalshunt.server.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.ReferenceCountUtil;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection in two steps, as RFC 9112, section 9.6, describes: the sending direction after the last byte, and
 * the rest some time later. A caller may have sent its next request by then. The operating system resets a connection
 * that is closed with unread bytes, and a reset can destroy the end of the response at the caller.
 */
final class GracefulClose {
    /** Time for the caller to read the end of its response and to close the connection. */
    private static final long LINGER_MILLIS = 1_000;

    private static final ChannelInboundHandlerAdapter DISCARD = new Discard();

    private final Channel channel;
    private boolean begun;

    GracefulClose(Channel channel) {
        this.channel = channel;
    }

    boolean hasBegun() {
        return begun;
    }

    /** Closes after a response that announced it: the caller sends no other request, and further bytes are discarded. */
    void afterResponse(ChannelFuture written) {
        if (begun) {
            return;
        }
        begun = true;
        channel.pipeline().addFirst(DISCARD);
        channel.config().setAutoRead(true);
        closeAfter(written);
    }

    /**
     * Closes a connection whose caller was not told. A request that is on its way stays unread, so that its caller may
     * send it again.
     */
    void withoutReading() {
        if (begun) {
            return;
        }
        begun = true;
        channel.config().setAutoRead(false);
        closeAfter(channel.writeAndFlush(Unpooled.EMPTY_BUFFER));
    }

    private void closeAfter(ChannelFuture written) {
        written.addListener(done -> {
            if (!done.isSuccess() || !(channel instanceof DuplexChannel duplex)) {
                channel.close();
                return;
            }
            duplex.shutdownOutput();
            channel.eventLoop().schedule((Runnable) channel::close, LINGER_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    @Sharable
    private static final class Discard extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            ReferenceCountUtil.release(message);
        }
    }
}
