package org.quetzalshunt.server.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** One request under way. Ends exactly once. */
public final class HttpCall {
    /** Takes back a connection that can be used again. */
    @FunctionalInterface
    interface Release {
        void accept(Channel channel, long keepMillis);
    }

    private final HttpResponseListener listener;
    private final Predicate<HttpHeaders> own;
    private final Release release;
    private Channel channel;
    private ScheduledFuture<?> timeout;
    private boolean sent;
    private boolean done;

    private HttpCall(HttpResponseListener listener, Predicate<HttpHeaders> own, Release release) {
        this.listener = listener;
        this.own = own;
        this.release = release;
    }

    static HttpCall create(HttpResponseListener listener, Predicate<HttpHeaders> own, Release release) {
        return new HttpCall(listener, own, release);
    }

    /** Gives the request up: the connection is closed, and the listener hears no more. */
    public void cancel() {
        if (done) {
            return;
        }
        finish();
        if (channel != null) {
            channel.close();
        }
    }

    void start(Channel connection, FullHttpRequest request, long timeoutMillis) {
        if (done) {
            request.release();
            connection.close();
            return;
        }
        channel = connection;
        channel.pipeline().get(HttpCallHandler.class).attach(this);
        timeout = channel.eventLoop().schedule(() -> timedOut(), timeoutMillis, TimeUnit.MILLISECONDS);
        channel.writeAndFlush(request).addListener(written -> {
            sent = written.isSuccess();
            if (!sent) {
                fail("cannot send: " + written.cause().getMessage(), true);
            }
        });
    }

    boolean isOwn(HttpHeaders headers) {
        return own.test(headers);
    }

    void head(int status, HttpHeaders headers) {
        if (!done) {
            listener.onHead(status, headers);
        }
    }

    void chunk(byte[] data) {
        if (!done && data.length > 0) {
            listener.onChunk(data);
        }
    }

    /**
     * The answer is whole. A connection whose request was answered before it was all sent is closed: the server goes on
     * reading the rest of that request, and the next one's octets would be taken for it.
     */
    void end(boolean reusable, long keepMillis) {
        if (done) {
            return;
        }
        finish();
        if (reusable && sent) {
            release.accept(channel, keepMillis);
        } else {
            channel.close();
        }
        listener.onEnd();
    }

    void fail(String reason, boolean requestMayHaveArrived) {
        if (done) {
            return;
        }
        finish();
        if (channel != null) {
            channel.close();
        }
        listener.onFailure(reason, requestMayHaveArrived);
    }

    private void timedOut() {
        fail("no whole answer in time", true);
    }

    private void finish() {
        done = true;
        if (timeout != null) {
            timeout.cancel(false);
        }
    }
}
