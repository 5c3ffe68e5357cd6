package org.quetzalshunt.server.http;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/** One request under way. Ends exactly once. */
public final class HttpCall {
    private final HttpResponseListener listener;
    private final Consumer<Channel> release;
    private Channel channel;
    private ScheduledFuture<?> timeout;
    private boolean done;

    private HttpCall(HttpResponseListener listener, Consumer<Channel> release) {
        this.listener = listener;
        this.release = release;
    }

    static HttpCall create(HttpResponseListener listener, Consumer<Channel> release) {
        return new HttpCall(listener, release);
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
            if (!written.isSuccess()) {
                fail("cannot send: " + written.cause().getMessage(), true);
            }
        });
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

    void end(boolean reusable) {
        if (done) {
            return;
        }
        finish();
        if (reusable) {
            release.accept(channel);
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
