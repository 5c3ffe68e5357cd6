package org.quetzalshunt.server.http;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.tinylog.Logger;

/** Hands what comes on a client connection to the call that uses it now. */
final class HttpCallHandler extends SimpleChannelInboundHandler<HttpObject> {
    private static final Pattern KEEP_ALIVE_TIMEOUT = Pattern.compile("timeout\\s*=\\s*(\\d{1,6})");
    private static final long MILLIS_PER_SECOND = 1_000;

    private HttpCall call;
    private boolean keepAlive;
    private long keepMillis = IdleConnection.UNSTATED;
    /** A response that answers another request is passing. */
    private boolean skipping;
    /** Such a response came: what else comes on this connection cannot be told apart for sure. */
    private boolean confused;

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
            head(response);
        }
        if (message instanceof HttpContent content && !skipping && call != null) {
            call.chunk(ByteBufUtil.getBytes(content.content()));
        }
        if (message instanceof LastHttpContent) {
            last();
        }
    }

    private void head(HttpResponse response) {
        boolean interim = response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
        boolean own = interim || call.isOwn(response.headers());
        skipping = interim || !own;
        confused |= !own;
        if (skipping) {
            return;
        }
        keepAlive = HttpUtil.isKeepAlive(response);
        keepMillis = keepMillis(response.headers());
        call.head(response.status().code(), response.headers());
    }

    private void last() {
        if (skipping) {
            skipping = false;
            return;
        }
        if (call != null) {
            detach().end(keepAlive && !confused, keepMillis);
        }
    }

    private static long keepMillis(HttpHeaders headers) {
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
            detach().fail("the connection closed before the answer ended", true);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (call != null) {
            detach().fail("the connection broke: " + cause.getMessage(), true);
        } else if (cause instanceof RuntimeException) {
            // Thrown by a listener: a fault of this program, not of the connection.
            Logger.error(cause, "a listener failed on an answer");
        }
        context.close();
    }

    private HttpCall detach() {
        HttpCall current = call;
        call = null;
        return current;
    }
}
