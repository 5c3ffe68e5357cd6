package org.quetzalshunt.server.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.route.RequestKind;
import org.quetzalshunt.core.routing.AttemptOutcome;
import org.quetzalshunt.core.routing.EndpointLimits;
import org.quetzalshunt.core.routing.Registration;
import org.quetzalshunt.core.routing.RoutingRequest;
import org.quetzalshunt.core.routing.Selection;
import org.quetzalshunt.server.http.CallTimeouts;
import org.quetzalshunt.server.http.HttpCall;
import org.quetzalshunt.server.http.HttpResponseListener;
import org.quetzalshunt.server.http.IpPort;
import org.quetzalshunt.server.http.OutboundRequest;
import org.quetzalshunt.server.http.ResponseMatch;

/**
 * Sends one request to an endpoint of its service. If the endpoint cannot be reached or answers that it did not run
 * the request, the next endpoint is tried. All other results are passed to the listener, which decides whether the
 * request may be retried.
 */
final class EndpointCall {
    /** Receives the result of a request: a response (headers, data and end), a failure, or a refusal without a run. */
    interface Listener {
        void onHead(ResponseKind head, int status, HttpHeaders headers);

        void onData(byte[] data);

        void onEnd();

        /** The request may have run, and no complete response will follow. */
        void onBroken(String reason);

        /** No endpoint ran the request since the last {@link EndpointCall#start}. */
        void onRefused(Refusal refusal);
    }

    /** With less time left than this, a request is not sent: the network round trip alone takes a few milliseconds. */
    private static final long MINIMUM_REMAINING_MILLIS = 15;

    /**
     * Connect timeout: a round trip between data centres takes about a millisecond, and a listening endpoint accepts
     * at once.
     */
    private static final long CONNECT_TIMEOUT_MILLIS = 300;

    /**
     * Time behind the deadline after which the HTTP client ends an attempt. The listener cancels it at the deadline; an
     * attempt that the client ended first would count as a broken response of its endpoint.
     */
    private static final long DEADLINE_MARGIN_MILLIS = 500;

    /**
     * Pooled connections that were idle for longer are not reused: endpoints close idle connections after several
     * seconds, so that the connection may be half-open.
     */
    private static final long MAXIMUM_IDLE_MILLIS = 4_000;

    /**
     * Pause before the next selection when every endpoint is full: about the time in which one of a dozen running
     * turns ends.
     */
    private static final long ALL_FULL_PAUSE_MILLIS = 25;

    /** Retry-After when every endpoint is full: about the length of a turn, so that endpoints have free slots again. */
    private static final long ALL_FULL_RETRY_AFTER_MILLIS = 250;

    /**
     * An endpoint that has not sent response headers after this many times the route's target latency gets no more
     * work for a while; a healthy endpoint responds within the target latency. Guards against an endpoint that accepts
     * requests and answers none: it would look idle until the first request reached its deadline, and all callers
     * would wait for theirs.
     */
    private static final double HEADERS_TIMEOUT_TARGETS = 2;

    private final Gateway gateway;
    private final AdmittedRequest admitted;
    private final byte[] body;
    private final Listener listener;
    private final ResponseFlow flow;
    private final RequestMemory memory;
    private final Set<String> excluded = new HashSet<>();
    private final SlowdownWatch watch;
    private final AttemptRecords records = new AttemptRecords();
    private Registration endpoint;
    private Selection selection;
    private HttpCall call;
    private ScheduledFuture<?> pendingRetry;
    private ScheduledFuture<?> headersTimeout;
    private long sentMillis;
    private OptionalLong firstSentMillis = OptionalLong.empty();
    private boolean done;
    private boolean prefillDone = true;
    private boolean countedInShares;
    private int attemptCount;

    EndpointCall(Gateway gateway, AdmittedRequest admitted, byte[] body, Listener listener) {
        this.gateway = gateway;
        this.admitted = admitted;
        this.body = body;
        this.listener = listener;
        this.flow = new ResponseFlow(gateway, admitted.exchange(), () -> call);
        this.memory = new RequestMemory(gateway, admitted, body);
        this.watch = new SlowdownWatch(gateway, admitted);
    }

    /** Sends the request. May be called again, as a retry, after the attempt before has ended or was cancelled. */
    void start() {
        done = false;
        send();
    }

    /**
     * Cancels the current attempt. The listener receives no further events of it. Its endpoint is not selected again
     * as long as another one is available.
     */
    void cancel(AttemptOutcome outcome) {
        if (done) {
            return;
        }
        done = true;
        if (pendingRetry != null) {
            pendingRetry.cancel(false);
        }
        if (call != null) {
            call.cancel();
            endAttempt(outcome);
        }
    }

    /** Whether an endpoint may be running the request. */
    boolean isRunning() {
        return !done && call != null;
    }

    /** Pace of the response, which depends on its caller. */
    ResponseFlow flow() {
        return flow;
    }

    /** The endpoint of the last attempt. */
    Optional<Registration> endpoint() {
        return Optional.ofNullable(endpoint);
    }

    /** The selection of the last attempt, with the estimates made at that time. */
    Optional<Selection> selection() {
        return Optional.ofNullable(selection);
    }

    /** When the last attempt was sent, on this VM's clock. */
    long sentMillis() {
        return sentMillis;
    }

    /** When the first attempt was sent, on this VM's clock; empty before. */
    OptionalLong firstSentMillis() {
        return firstSentMillis;
    }

    /** Number of attempts sent. */
    int attemptCount() {
        return attemptCount;
    }

    /** The attempts for the log line of the request. */
    AttemptRecords records() {
        return records;
    }

    private void send() {
        long now = gateway.clock().now();
        long remainingMillis = admitted.deadlineMillis() - now;
        if (remainingMillis < MINIMUM_REMAINING_MILLIS) {
            refuse(Refusal.notRun(ResultCode.DEADLINE_UNREACHABLE, "no time left"));
            return;
        }
        RoutingRequest request = RoutingRequests.of(gateway, admitted, excluded, memory);
        Optional<Selection> selected = gateway.endpoints().select(now, request);
        if (selected.isEmpty()) {
            onNoEndpoint(remainingMillis, request.limits());
            return;
        }
        selection = selected.get();
        endpoint = selection.registration();
        sentMillis = now;
        firstSentMillis = firstSentMillis.isPresent() ? firstSentMillis : OptionalLong.of(now);
        attemptCount++;
        RoutingReports.onSent(gateway, endpoint, body.length);
        excluded.add(endpoint.id());
        gateway.endpoints().started(endpoint.id());
        countedInShares = gateway.shares().started(admitted);
        memory.started(endpoint.id(), request.workTokens());
        gateway.endpoints().recordPrompt(endpoint.id(), request, selection.uncachedTokens());
        prefillDone = false;
        watch.start(selection);
        startHeadersTimeout();
        call = gateway.http()
                .send(
                        outboundRequest(remainingMillis),
                        callTimeouts(remainingMillis),
                        this::match,
                        new ResponseHandler());
    }

    private void startHeadersTimeout() {
        String id = endpoint.id();
        long timeoutMillis =
                Math.max(1, (long) (HEADERS_TIMEOUT_TARGETS * admitted.route().targetLatencyMillis()));
        headersTimeout = gateway.executor()
                .schedule(
                        () -> gateway.endpoints()
                                .markUnresponsive(gateway.clock().now(), id),
                        timeoutMillis,
                        TimeUnit.MILLISECONDS);
    }

    private void onNoEndpoint(long remainingMillis, EndpointLimits limits) {
        switch (gateway.endpoints().availability(admitted.service().name(), limits)) {
            case EVACUATED ->
                refuse(Refusal.notRunRetryAfter(
                        ResultCode.EVACUATED,
                        "evacuated: " + gateway.evacuations().ageMillis().keySet(),
                        gateway.outageRetryAfterMillis(remainingMillis)));
            case NONE ->
                refuse(Refusal.notRunRetryAfter(
                        ResultCode.NO_ENDPOINT, "no endpoint is known", ALL_FULL_RETRY_AFTER_MILLIS));
            case AVAILABLE -> retryWhenFree(remainingMillis);
        }
    }

    private void retryWhenFree(long remainingMillis) {
        if (remainingMillis < ALL_FULL_RETRY_AFTER_MILLIS) {
            refuse(Refusal.notRunRetryAfter(
                    ResultCode.NO_ENDPOINT, "every endpoint is full", ALL_FULL_RETRY_AFTER_MILLIS));
            return;
        }
        excluded.clear();
        pendingRetry = gateway.executor().schedule(this::sendAgain, ALL_FULL_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void sendAgain() {
        if (!done) {
            send();
        }
    }

    private void refuse(Refusal refusal) {
        done = true;
        listener.onRefused(refusal);
    }

    private OutboundRequest outboundRequest(long remainingMillis) {
        HttpHeaders headers = gateway.dialect()
                .endpointRequestHeaders(
                        admitted.exchange().rawHeaders(),
                        new OutboundHeaderValues(
                                endpoint.id(),
                                remainingMillis,
                                admitted.account().map(account -> account.name()),
                                gateway.starts().enginePriority(gateway, admitted)));
        return new OutboundRequest(
                address(endpoint.address()),
                admitted.exchange().method(),
                admitted.exchange().uri(),
                headers,
                body,
                Optional.of(admitted.request().id()));
    }

    /** Parses the address of a registration, which was validated when the registration was decoded. */
    static InetSocketAddress address(String text) {
        return IpPort.parse(text).orElseThrow();
    }

    private static CallTimeouts callTimeouts(long remainingMillis) {
        return new CallTimeouts(
                Math.min(CONNECT_TIMEOUT_MILLIS, remainingMillis),
                remainingMillis + DEADLINE_MARGIN_MILLIS,
                MAXIMUM_IDLE_MILLIS);
    }

    private ResponseMatch match(HttpHeaders headers) {
        return gateway.dialect().responseMatch(admitted.request().id(), headers);
    }

    /** Records that events of the response arrived. */
    void markEvents() {
        watch.onEvents();
    }

    /**
     * Removes the prompt of the current attempt from the endpoint's prefill backlog, because the endpoint has
     * processed it or will not.
     */
    void markPrefillDone() {
        if (!prefillDone) {
            prefillDone = true;
            gateway.endpoints().recordPrefillDone(endpoint.id(), selection.uncachedTokens());
        }
    }

    private void endAttempt(AttemptOutcome outcome) {
        records.onEnd(endpoint.id(), Optional.ofNullable(call).flatMap(HttpCall::connectionUse), outcome);
        call = null;
        memory.ended(endpoint.id());
        headersTimeout.cancel(false);
        watch.end();
        long now = gateway.clock().now();
        markPrefillDone();
        recordPlainTime(now, outcome);
        AttemptOutcome endpointOutcome = flow.outcome(outcome);
        gateway.endpoints().finished(now, endpoint.id(), endpointOutcome, now - sentMillis - flow.pausedMillis());
        if (countedInShares) {
            gateway.shares().finished(admitted);
        }
        gateway.metrics().countAttempt(endpointOutcome.name().toLowerCase(Locale.ROOT));
        if (outcome == AttemptOutcome.ANSWERED) {
            gateway.starts().onTurnEnded(gateway, admitted, now - sentMillis - flow.pausedMillis());
        }
    }

    private void recordPlainTime(long now, AttemptOutcome outcome) {
        if (outcome == AttemptOutcome.ANSWERED
                && !flow.wasBlocked()
                && admitted.request().prefixParts().isEmpty()
                && gateway.isEnabled(Mechanism.SPEED_SAMPLING)) {
            gateway.endpoints()
                    .speeds()
                    .recordPlain(now, endpoint.id(), admitted.route().name(), now - sentMillis);
        }
    }

    /** Handles the response to the current attempt. */
    private final class ResponseHandler implements HttpResponseListener {
        private ResponseKind head;

        @Override
        public void onRequestUnread() {
            memory.onUnread();
        }

        @Override
        public void onRequestRead() {
            memory.onRead();
        }

        @Override
        public void onHead(int status, HttpHeaders headers) {
            headersTimeout.cancel(false);
            records.onHead(status, gateway.dialect().responseIdentity(headers));
            head = gateway.dialect().responseKind(status, headers);
            if (isForwarded()) {
                listener.onHead(head, status, headers);
                return;
            }
            if (head == ResponseKind.INVALID) {
                call.cancel();
                endAttempt(AttemptOutcome.FAILED);
                done = true;
                listener.onBroken("the answer violates the protocol, status " + status);
            }
        }

        private boolean isForwarded() {
            return head == ResponseKind.SUCCESS || head == ResponseKind.FAILURE;
        }

        private boolean isNotRun() {
            return head == ResponseKind.NOT_RUN_FULL || head == ResponseKind.NOT_RUN_MOVED;
        }

        @Override
        public void onChunk(byte[] data) {
            RoutingReports.onAnswer(gateway, endpoint, data.length);
            if (isForwarded()) {
                listener.onData(data);
                flow.onRead(data.length);
            }
        }

        @Override
        public void onMalformed() {
            head = ResponseKind.INVALID;
        }

        @Override
        public void onEnd() {
            if (isNotRun()) {
                endAttempt(head == ResponseKind.NOT_RUN_FULL ? AttemptOutcome.FULL : AttemptOutcome.FAILED);
                send();
                return;
            }
            endAttempt(head == ResponseKind.SUCCESS ? AttemptOutcome.ANSWERED : AttemptOutcome.ERRORED);
            done = true;
            gateway.crashes().onAnswered(admitted);
            listener.onEnd();
        }

        @Override
        public void onFailure(String reason, boolean requestMayHaveArrived) {
            endAttempt(AttemptOutcome.FAILED);
            if (isNotRun() || !requestMayHaveArrived) {
                send();
                return;
            }
            done = true;
            gateway.crashes().onConnectionBroken(admitted, endpoint, sentMillis, body);
            listener.onBroken(reason);
        }
    }

    /** Whether the kind of the request allows a retry after an unknown outcome. */
    static boolean isIdempotent(AdmittedRequest admitted) {
        return admitted.route().kind() == RequestKind.IDEMPOTENT;
    }
}
