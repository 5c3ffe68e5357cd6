package org.quetzalshunt.server.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/**
 * Closes a connection on which a request does not arrive completely within the time limit. Guards against slow senders
 * that would occupy all connections, visible as a rising number of connections without requests. The time starts when
 * the connection opens, or at the head of a later request, and is not extended by further bytes, so that a slow trickle
 * is cut off too.
 */
final class RequestArrivalTimeout extends ChannelInboundHandlerAdapter {
    private final long limitMillis;
    private final HttpConnection connection;
    private ScheduledFuture<?> timeout;

    RequestArrivalTimeout(long limitMillis, HttpConnection connection) {
        this.limitMillis = limitMillis;
        this.connection = connection;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) throws Exception {
        startTimeout(context);
        super.channelActive(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof HttpRequest && timeout == null) {
            startTimeout(context);
        }
        if (message instanceof LastHttpContent) {
            cancelTimeout();
        }
        super.channelRead(context, message);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        cancelTimeout();
        super.channelInactive(context);
    }

    private void startTimeout(ChannelHandlerContext context) {
        timeout = context.executor().schedule(() -> onTimeout(context), limitMillis, TimeUnit.MILLISECONDS);
    }

    /**
     * Closes the connection unless this VM does not read from it: then the caller may have sent everything. Nor is it
     * closed while the caller waits for the response to a request before, which would be lost.
     */
    private void onTimeout(ChannelHandlerContext context) {
        if (context.channel().config().isAutoRead() && !connection.owesResponse()) {
            context.close();
            return;
        }
        startTimeout(context);
    }

    private void cancelTimeout() {
        if (timeout != null) {
            timeout.cancel(false);
            timeout = null;
        }
    }
}
