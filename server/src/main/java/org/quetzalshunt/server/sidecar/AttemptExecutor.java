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
import org.quetzalshunt.core.memory.ResponseBudget;
import org.quetzalshunt.server.http.HttpCall;
import org.quetzalshunt.server.http.HttpClient;
import org.quetzalshunt.server.http.HttpResponseListener;

/** Executes attempts at the endpoint: sends, resumes and cancels their HTTP requests, and tracks the open calls. */
final class AttemptExecutor {
    private static final byte[] NO_BODY = {};
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String REQUESTS_PATH = "/engine/requests/";

    /** The gate enforces the deadline; this later timeout only frees the connection. */
    private static final long TIMEOUT_MARGIN_MILLIS = 2_000;

    private static final long CANCEL_TIMEOUT_MILLIS = 1_000;

    /**
     * A cancel can reach the engine before its request, which uses another connection, and then has no effect. It is
     * sent once more after this delay.
     */
    private static final long CANCEL_REPEAT_DELAY_MILLIS = 1_000;

    private final EventLoopGroup group;
    private final InetSocketAddress endpoint;
    private final boolean isEngine;
    private final HttpClient client;
    private final Consumer<EndpointEvent> events;
    private final ResponseBudget responses =
            ResponseBudget.ofHeap(Runtime.getRuntime().maxMemory());
    private final Long2ObjectHashMap<OpenCall> calls = new Long2ObjectHashMap<>();

    private AttemptExecutor(EventLoopGroup group, SidecarSettings settings, Consumer<EndpointEvent> events) {
        this.group = group;
        this.endpoint = settings.endpoint();
        this.isEngine = settings.kind() == ServiceKind.ENGINE;
        this.client = HttpClient.create(group);
        this.events = events;
    }

    static AttemptExecutor create(EventLoopGroup group, SidecarSettings settings, Consumer<EndpointEvent> events) {
        return new AttemptExecutor(group, settings, events);
    }

    void start(GateOutput.StartRun start) {
        AttemptOrder order = start.order();
        String method = isEngine ? "POST" : order.method();
        String path = isEngine ? CHAT_PATH : order.path();
        send(order.attempt(), start.run(), method, path, headers(order), order.body(), start.timeoutMillis());
    }

    void resume(GateOutput.ResumeRun resume) {
        String path = REQUESTS_PATH + resume.attempt() + "?from=" + resume.fromEvent();
        send(resume.attempt(), resume.run(), "GET", path, Map.of(), NO_BODY, resume.timeoutMillis());
    }

    void stop(long attempt) {
        OpenCall call = calls.remove(attempt);
        if (call != null) {
            call.cancel();
        }
        if (isEngine) {
            sendCancel(attempt);
            group.next().schedule(() -> sendCancel(attempt), CANCEL_REPEAT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    int open() {
        return calls.size();
    }

    /** Cancels all calls. */
    void close() {
        calls.values().forEach(OpenCall::cancel);
        calls.clear();
    }

    /**
     * Sends a run on a new connection, which is cheap beside the endpoint. On an idle one, a late second response to an
     * earlier run could be taken for the response to this one, since endpoints echo no id; and the endpoint can close
     * it just as a request is sent, which leaves the outcome of a request unknown that never arrived.
     */
    private void send(
            long attempt,
            int run,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            long timeoutMillis) {
        ResponseBudget.Account held = responses.open();
        AttemptResponseListener listener = AttemptResponseListener.of(attempt, run, isEngine, events, held, () -> {
            held.set(0);
            calls.remove(attempt);
        });
        Optional<HttpCall> call = trySend(method, path, headers, body, timeoutMillis + TIMEOUT_MARGIN_MILLIS, listener);
        if (call.isEmpty()) {
            listener.onFailure("request is not valid HTTP", false);
            return;
        }
        if (!listener.isEnded()) {
            calls.put(attempt, new OpenCall(call.get(), held));
        }
    }

    /** Empty when the method, the path or a header is not valid in HTTP; Netty rejects those before it connects. */
    private Optional<HttpCall> trySend(
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
        if (!isEngine) {
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

    private void sendCancel(long attempt) {
        String path = REQUESTS_PATH + attempt;
        client.send(
                endpoint,
                "DELETE",
                path,
                Map.of(),
                NO_BODY,
                CANCEL_TIMEOUT_MILLIS,
                BufferedResponse.collect(answer -> {}));
    }

    /** A call in progress, with the part of its response that is held. */
    private record OpenCall(HttpCall call, ResponseBudget.Account held) {
        void cancel() {
            call.cancel();
            held.set(0);
        }
    }
}
