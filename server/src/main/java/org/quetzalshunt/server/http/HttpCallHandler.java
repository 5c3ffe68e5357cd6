package org.quetzalshunt.server.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;

/** Hands what comes on a client connection to the call that uses it now. */
final class HttpCallHandler extends SimpleChannelInboundHandler<HttpObject> {
    private HttpCall call;
    private boolean keepAlive;

    void attach(HttpCall newCall) {
        call = newCall;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (call == null) {
            context.close();
            return;
        }
        if (!message.decoderResult().isSuccess()) {
            detach().fail("the answer cannot be decoded", true);
            return;
        }
        if (message instanceof HttpResponse response) {
            keepAlive = HttpUtil.isKeepAlive(response);
            call.head(response.status().code(), response.headers());
        }
        if (message instanceof HttpContent content && call != null) {
            call.chunk(ByteBufUtil.getBytes(content.content()));
        }
        if (message instanceof LastHttpContent && call != null) {
            detach().end(keepAlive);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (call != null) {
            detach().fail("the connection closed before the answer ended", true);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (call != null) {
            detach().fail("the connection broke: " + cause.getMessage(), true);
        }
        context.close();
    }

    private HttpCall detach() {
        HttpCall current = call;
        call = null;
        return current;
    }
}
