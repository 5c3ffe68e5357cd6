package org.quetzalshunt.server.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;

/** One request in progress. Ends exactly once. */
public final class HttpCall {
    /** Receives a connection that can be reused. */
    @FunctionalInterface
    interface Release {
        void accept(Channel channel, long keepAliveMillis);
    }

    private final HttpResponseListener listener;
    private final Predicate<HttpHeaders> matchesRequest;
    private final Release release;
    private Channel channel;
    private ScheduledFuture<?> timeout;
    private boolean sent;
    private boolean done;

    private HttpCall(HttpResponseListener listener, Predicate<HttpHeaders> matchesRequest, Release release) {
        this.listener = listener;
        this.matchesRequest = matchesRequest;
        this.release = release;
    }

    static HttpCall create(HttpResponseListener listener, Predicate<HttpHeaders> matchesRequest, Release release) {
        return new HttpCall(listener, matchesRequest, release);
    }

    /** Cancels the request: closes the connection and makes no further call to the listener. */
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
        timeout = channel.eventLoop().schedule(() -> onTimeout(), timeoutMillis, TimeUnit.MILLISECONDS);
        ChannelFuture writing = channel.writeAndFlush(request);
        if (!writing.isDone()) {
            listener.onRequestUnread();
        }
        writing.addListener(written -> {
            sent = written.isSuccess();
            if (!sent) {
                fail("cannot send request: " + written.cause().getMessage(), true);
            } else if (!done) {
                listener.onRequestRead();
            }
        });
    }

    /**
     * Stops or continues to read the response. While it is not read, a connection that the server closes is not
     * noticed.
     */
    public void setReading(boolean reading) {
        if (!done && channel != null && channel.config().isAutoRead() != reading) {
            channel.config().setAutoRead(reading);
        }
    }

    boolean isOwnResponse(HttpHeaders headers) {
        return matchesRequest.test(headers);
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
     * Ends the call after a complete response. The connection is closed if the response came before the request was
     * fully sent, because the server would read the next request on it as the rest of this one.
     */
    void end(boolean reusable, long keepAliveMillis) {
        if (done) {
            return;
        }
        setReading(true);
        finish();
        if (reusable && sent) {
            release.accept(channel, keepAliveMillis);
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

    private void onTimeout() {
        fail("response not complete within the time limit", true);
    }

    private void finish() {
        done = true;
        if (timeout != null) {
            timeout.cancel(false);
        }
    }
}
