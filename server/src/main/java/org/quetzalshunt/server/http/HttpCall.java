package org.quetzalshunt.server.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import java.util.Optional;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** One request in progress. Ends exactly once. */
public final class HttpCall {
    /** Receives a connection that can be reused. */
    @FunctionalInterface
    interface Release {
        void accept(Channel channel, long keepAliveMillis);
    }

    private final HttpResponseListener listener;
    private final Optional<String> requestId;
    private final ResponseMatcher matcher;
    private final Release release;
    private Channel channel;
    private ConnectionUse connectionUse;
    private ScheduledFuture<?> timeout;
    private boolean withoutBody;
    private boolean sent;
    private boolean done;

    private HttpCall(
            HttpResponseListener listener, Optional<String> requestId, ResponseMatcher matcher, Release release) {
        this.listener = listener;
        this.requestId = requestId;
        this.matcher = matcher;
        this.release = release;
    }

    static HttpCall create(
            HttpResponseListener listener, Optional<String> requestId, ResponseMatcher matcher, Release release) {
        return new HttpCall(listener, requestId, matcher, release);
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

    /** The connection; empty if there is none yet. */
    public Optional<ConnectionUse> connectionUse() {
        return Optional.ofNullable(connectionUse);
    }

    void start(Channel connection, FullHttpRequest request, long timeoutMillis) {
        if (done) {
            request.release();
            connection.close();
            return;
        }
        channel = connection;
        withoutBody = request.method().equals(HttpMethod.HEAD);
        HttpCallHandler handler = channel.pipeline().get(HttpCallHandler.class);
        handler.attach(this);
        connectionUse = handler.connectionUse(channel);
        timeout = channel.eventLoop().schedule(() -> onTimeout(), timeoutMillis, TimeUnit.MILLISECONDS);
        ChannelFuture writing = channel.writeAndFlush(request);
        if (!writing.isDone()) {
            listener.onRequestUnread();
        }
        writing.addListener(written -> {
            sent = written.isSuccess();
            if (!sent) {
                // A write can fail during this method, while the caller of the client does not have this call yet.
                String reason = "cannot send request: " + written.cause().getMessage();
                channel.eventLoop().execute(() -> fail(reason, true));
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

    /** Whether a response has no body, whatever its head states. */
    boolean isWithoutBody() {
        return withoutBody;
    }

    Optional<String> requestId() {
        return requestId;
    }

    ResponseMatch match(HttpHeaders headers) {
        return matcher.match(headers);
    }

    void head(int status, HttpHeaders headers) {
        if (!done) {
            listener.onHead(status, headers);
        }
    }

    /** Passes a part of the body to the listener; false if the listener takes no more of the response. */
    boolean chunk(byte[] data) {
        if (!done && data.length > 0) {
            listener.onChunk(data);
        }
        return done || !listener.exceedsLimit();
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

    /** Ends the call after bytes that are no response, so that the outcome of the request is unknown. */
    void failMalformed(String reason) {
        if (!done) {
            listener.onMalformed();
            fail(reason, true);
        }
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
