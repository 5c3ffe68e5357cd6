package org.quetzalshunt.server.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection on which a request began and did not arrive whole in time. Guards against slow senders that
 * would hold connections until none is left; shows as a rising number of connections without requests. Time is
 * counted from the first byte of the request and not from the last, so that a trickle does not extend it.
 */
final class RequestArrivalTimeout extends ChannelInboundHandlerAdapter {
    private final long limitMillis;
    private ScheduledFuture<?> timeout;

    RequestArrivalTimeout(long limitMillis) {
        this.limitMillis = limitMillis;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        arm(context);
        super.channelActive(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof HttpRequest && timeout == null) {
            arm(context);
        }
        if (message instanceof LastHttpContent) {
            disarm();
        }
        super.channelRead(context, message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        disarm();
        super.channelInactive(context);
    }

    private void arm(ChannelHandlerContext context) {
        timeout = context.executor().schedule(() -> context.close(), limitMillis, TimeUnit.MILLISECONDS);
    }

    private void disarm() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }
}
