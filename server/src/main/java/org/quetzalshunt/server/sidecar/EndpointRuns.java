package org.quetzalshunt.server.sidecar;

import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.agrona.collections.Long2ObjectHashMap;
import org.quetzalshunt.core.attempt.AttemptOrder;
import org.quetzalshunt.core.attempt.EndpointEvent;
import org.quetzalshunt.core.attempt.EndpointHeaders;
import org.quetzalshunt.core.attempt.GateOutput;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.server.http.HttpCall;
import org.quetzalshunt.server.http.HttpClient;
import org.quetzalshunt.server.http.HttpResponseListener;

/** Requests to the endpoint that carry attempts. */
final class EndpointRuns {
    private static final byte[] NO_BODY = {};
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String REQUESTS_PATH = "/engine/requests/";

    /** The gate's own deadline comes first; this one only frees the connection. */
    private static final long TIMEOUT_MARGIN_MILLIS = 2_000;

    private static final long CANCEL_TIMEOUT_MILLIS = 1_000;

    /** A cancel that overtakes its request on another connection finds nothing; the second one finds it. */
    private static final long SECOND_CANCEL_MILLIS = 1_000;

    private final EventLoopGroup group;
    private final InetSocketAddress endpoint;
    private final boolean engine;
    private final HttpClient pooled;
    private final HttpClient unpooled;
    private final Consumer<EndpointEvent> events;
    private final Long2ObjectHashMap<HttpCall> calls = new Long2ObjectHashMap<>();

    private EndpointRuns(EventLoopGroup group, SidecarSettings settings, Consumer<EndpointEvent> events) {
        this.group = group;
        this.endpoint = settings.endpoint();
        this.engine = settings.kind() == ServiceKind.ENGINE;
        this.pooled = HttpClient.create(group);
        this.unpooled = HttpClient.create(group);
        this.events = events;
    }

    static EndpointRuns create(EventLoopGroup group, SidecarSettings settings, Consumer<EndpointEvent> events) {
        return new EndpointRuns(group, settings, events);
    }

    void start(GateOutput.StartRun start) {
        AttemptOrder order = start.order();
        HttpClient client = order.repeatable() ? pooled : freshConnection();
        String method = engine ? "POST" : order.method();
        String path = engine ? CHAT_PATH : order.path();
        send(client, order.attempt(), start.run(), method, path, headers(order), order.body(), start.timeoutMillis());
    }

    void resume(GateOutput.ResumeRun resume) {
        String path = REQUESTS_PATH + resume.attempt() + "?from=" + resume.fromEvent();
        send(pooled, resume.attempt(), resume.run(), "GET", path, Map.of(), NO_BODY, resume.timeoutMillis());
    }

    void stop(long attempt) {
        HttpCall call = calls.remove(attempt);
        if (call != null) {
            call.cancel();
        }
        if (engine) {
            cancelAtEngine(attempt);
            group.next().schedule(() -> cancelAtEngine(attempt), SECOND_CANCEL_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    int open() {
        return calls.size();
    }

    /** Breaks every connection. */
    void close() {
        calls.values().forEach(HttpCall::cancel);
        calls.clear();
        pooled.close();
        unpooled.close();
    }

    /**
     * A kept connection that the service closes at the moment of its use would make the outcome of a call unknown
     * that never arrived; a call that must not be repeated therefore gets a connection of its own.
     */
    private HttpClient freshConnection() {
        unpooled.close();
        return unpooled;
    }

    private void send(
            HttpClient client,
            long attempt,
            int run,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis) {
        RunListener listener = RunListener.of(attempt, run, engine, events, () -> calls.remove(attempt));
        Optional<HttpCall> call =
                trySend(client, method, path, headers, body, timeoutMillis + TIMEOUT_MARGIN_MILLIS, listener);
        if (call.isEmpty()) {
            listener.onFailure("the request cannot be written as HTTP", false);
            return;
        }
        if (!listener.isEnded()) {
            calls.put(attempt, call.get());
        }
    }

    /** Empty when method, path or a header cannot stand in an HTTP request, which Netty finds before it connects. */
    private Optional<HttpCall> trySend(
            HttpClient client,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis,
            HttpResponseListener listener) {
        try {
            return Optional.of(client.send(endpoint, method, path, headers, body, timeoutMillis, listener));
        } catch (IllegalArgumentException malformed) {
            return Optional.empty();
        }
    }

    private Map<String, String> headers(AttemptOrder order) {
        Map<String, String> headers = EndpointHeaders.ofRequest(order.headers().entrySet());
        if (!engine) {
            return headers;
        }
        headers.putIfAbsent("content-type", "application/json");
        headers.put("x-request-id", Long.toString(order.attempt()));
        headers.put("x-priority", Integer.toString(order.priority()));
        if (!order.program().isEmpty()) {
            headers.put("x-cache-key", order.program());
        }
        return headers;
    }

    private void cancelAtEngine(long attempt) {
        String path = REQUESTS_PATH + attempt;
        pooled.send(
                endpoint, "DELETE", path, Map.of(), NO_BODY, CANCEL_TIMEOUT_MILLIS, WholeAnswer.gather(answer -> {}));
    }
}
