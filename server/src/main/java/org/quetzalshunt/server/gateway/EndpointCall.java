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
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.route.EngineShape;
import org.quetzalshunt.core.route.RequestKind;
import org.quetzalshunt.core.routing.AttemptOutcome;
import org.quetzalshunt.core.routing.EndpointLimits;
import org.quetzalshunt.core.routing.Registration;
import org.quetzalshunt.core.routing.RoutingRequest;
import org.quetzalshunt.core.routing.Selection;
import org.quetzalshunt.server.http.CallTimes;
import org.quetzalshunt.server.http.HttpCall;
import org.quetzalshunt.server.http.HttpResponseListener;
import org.quetzalshunt.server.http.IpPort;
import org.quetzalshunt.server.http.OutboundRequest;

/**
 * Takes one request to an endpoint that runs it. An endpoint that says "not run", or that could not be reached at all,
 * is followed by the next; everything else is passed to the listener, which decides whether the request may run again.
 */
final class EndpointCall {
    /** Hears one answer: a head with its data and end, or that it broke off, or that nothing ran. */
    interface Listener {
        void onHead(ResponseKind head, int status, HttpHeaders headers);

        void onData(byte[] data);

        void onEnd();

        /** The request may have run, and no whole answer will come. */
        void onBroken(String reason);

        /** The request ran nowhere. */
        void onRefused(Refusal refusal);
    }

    /** With less left than this, no endpoint could answer in time; the way there and back alone takes a few. */
    private static final long LEAST_MILLIS = 15;

    /** Both ways between data centres take about a millisecond; a listening endpoint answers at once. */
    private static final long CONNECT_MILLIS = 300;

    /** Endpoints keep idle connections for several seconds; one that was idle for longer may be half-open. */
    private static final long REUSE_MILLIS = 4_000;

    /** When every endpoint is full: about the time in which one of a dozen running turns ends somewhere. */
    private static final long FULL_PAUSE_MILLIS = 25;

    /** For callers that were refused because every endpoint is full: a turn's length, so that places are free again. */
    private static final long FULL_RETRY_MILLIS = 250;

    /**
     * An endpoint that has not begun its answer after this many times the route's target gets no more work for a while.
     * Guards against endpoints that take requests and answer none, which shows as callers that all wait until their
     * deadline: without it, it looks idle until the first of them is over. A sound one begins within the target.
     */
    private static final double SILENT_TARGETS = 2;

    /** Part of what a cold endpoint bears that all VMs together send it; VMs may disagree on how many they are. */
    private static final double COLD_PART = 0.5;

    private final Gateway gateway;
    private final AdmittedRequest admitted;
    private final byte[] body;
    private final Listener listener;
    private final Set<String> excluded = new HashSet<>();
    private Registration endpoint;
    private Selection choice;
    private HttpCall call;
    private ScheduledFuture<?> pause;
    private ScheduledFuture<?> silence;
    private long sentMillis;
    private OptionalLong firstSentMillis = OptionalLong.empty();
    private boolean done;
    private boolean prefillDone = true;
    private int sends;

    EndpointCall(Gateway gateway, AdmittedRequest admitted, byte[] body, Listener listener) {
        this.gateway = gateway;
        this.admitted = admitted;
        this.body = body;
        this.listener = listener;
    }

    /** Sends the request, again after an earlier answer was broken or given up. */
    void start() {
        done = false;
        send();
    }

    /** Gives up the present attempt; its endpoint is not chosen again. The listener receives nothing more of it. */
    void cancel(AttemptOutcome finish) {
        if (done) {
            return;
        }
        done = true;
        if (pause != null) {
            pause.cancel(false);
        }
        if (call != null) {
            call.cancel();
            ended(finish);
        }
    }

    /** Whether an endpoint may be running the request. */
    boolean running() {
        return !done && call != null;
    }

    /** The endpoint of the last attempt. */
    Optional<Registration> endpoint() {
        return Optional.ofNullable(endpoint);
    }

    /** What was believed of that endpoint when it was chosen. */
    Optional<Selection> choice() {
        return Optional.ofNullable(choice);
    }

    /** When the last attempt began, on this VM's clock. */
    long sentMillis() {
        return sentMillis;
    }

    /** When the first attempt began, on this VM's clock; empty before it. */
    OptionalLong firstSentMillis() {
        return firstSentMillis;
    }

    /** Attempts made. */
    int sends() {
        return sends;
    }

    private void send() {
        long now = gateway.clock().now();
        long remaining = admitted.deadlineMillis() - now;
        if (remaining < LEAST_MILLIS) {
            refuse(Refusal.notRun(ResultCode.DEADLINE_UNREACHABLE, "no time left"));
            return;
        }
        RoutingRequest request = routingRequest();
        Optional<Selection> chosen = gateway.endpoints().select(now, request);
        if (chosen.isEmpty()) {
            noEndpoint(remaining, request.limits());
            return;
        }
        choice = chosen.get();
        endpoint = choice.registration();
        sentMillis = now;
        firstSentMillis = firstSentMillis.isPresent() ? firstSentMillis : OptionalLong.of(now);
        sends++;
        excluded.add(endpoint.id());
        gateway.endpoints().started(endpoint.id());
        gateway.endpoints().prompted(endpoint.id(), request, choice.uncachedTokens());
        prefillDone = false;
        watchSilence();
        call = gateway.http().send(request(remaining), times(remaining), this::own, new Answer());
    }

    private void watchSilence() {
        String id = endpoint.id();
        long millis = Math.max(1, (long) (SILENT_TARGETS * admitted.route().targetLatencyMillis()));
        silence = gateway.executor()
                .schedule(() -> gateway.endpoints().silent(gateway.clock().now(), id), millis, TimeUnit.MILLISECONDS);
    }

    private RoutingRequest routingRequest() {
        int vms = Math.max(1, gateway.quotas().liveVms());
        int most = Math.max(2, admitted.service().maximumConnections() / vms);
        long memory = admitted.service()
                .engine()
                .map(EngineShape::cacheTokens)
                .filter(tokens -> tokens > 0)
                .orElse(Long.MAX_VALUE);
        double cold = COLD_PART * admitted.service().coldRequestsPerSecond() / vms;
        EndpointLimits limits = new EndpointLimits(
                most,
                cold > 0 ? cold : Double.POSITIVE_INFINITY,
                admitted.homeDataCentres(gateway.settings().regions()));
        return new RoutingRequest(
                admitted.service().name(), excluded, admitted.request().prefixParts(), memory, limits);
    }

    private void noEndpoint(long remaining, EndpointLimits limits) {
        switch (gateway.endpoints().availability(admitted.service().name(), limits)) {
            case EVACUATED ->
                refuse(Refusal.notRunRetryAfter(
                        ResultCode.EVACUATED,
                        "evacuated: " + gateway.evacuations().ageMillis().keySet(),
                        gateway.outageRetryAfterMillis(remaining)));
            case NONE ->
                refuse(Refusal.notRunRetryAfter(ResultCode.NO_ENDPOINT, "no endpoint is known", FULL_RETRY_MILLIS));
            case AVAILABLE -> allFull(remaining);
        }
    }

    private void allFull(long remaining) {
        if (remaining < FULL_RETRY_MILLIS) {
            refuse(Refusal.notRunRetryAfter(ResultCode.NO_ENDPOINT, "every endpoint is full", FULL_RETRY_MILLIS));
            return;
        }
        excluded.clear();
        pause = gateway.executor().schedule(this::resume, FULL_PAUSE_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void resume() {
        if (!done) {
            send();
        }
    }

    private void refuse(Refusal refusal) {
        done = true;
        listener.onRefused(refusal);
    }

    private OutboundRequest request(long remaining) {
        HttpHeaders headers = gateway.dialect()
                .outbound(
                        admitted.exchange().rawHeaders(),
                        new OutboundTerms(
                                endpoint.id(),
                                remaining,
                                admitted.account().map(account -> account.name()),
                                admitted.urgency()));
        return new OutboundRequest(
                address(endpoint.address()),
                admitted.exchange().method(),
                admitted.exchange().uri(),
                headers,
                body);
    }

    /** An address from an endpoint's registration, which was checked when it was read. */
    static InetSocketAddress address(String text) {
        return IpPort.parse(text).orElseThrow();
    }

    private static CallTimes times(long remaining) {
        return new CallTimes(Math.min(CONNECT_MILLIS, remaining), remaining, REUSE_MILLIS);
    }

    private boolean own(HttpHeaders headers) {
        return gateway.dialect().answers(admitted.request().id(), headers);
    }

    /** The endpoint has read the prompt of the present attempt, or will not. */
    void prefillDone() {
        if (!prefillDone) {
            prefillDone = true;
            gateway.endpoints().prefillDone(endpoint.id(), choice.uncachedTokens());
        }
    }

    private void ended(AttemptOutcome finish) {
        call = null;
        silence.cancel(false);
        long now = gateway.clock().now();
        prefillDone();
        gateway.endpoints().finished(now, endpoint.id(), finish, now - sentMillis);
        gateway.measures().attempt(finish.name().toLowerCase(Locale.ROOT));
    }

    /** Receives the present attempt's response. */
    private final class Answer implements HttpResponseListener {
        private ResponseKind head;

        @Override
        public void onHead(int status, HttpHeaders headers) {
            silence.cancel(false);
            head = gateway.dialect().head(status, headers);
            if (passes()) {
                listener.onHead(head, status, headers);
                return;
            }
            if (head == ResponseKind.INVALID) {
                call.cancel();
                ended(AttemptOutcome.FAILED);
                done = true;
                listener.onBroken("no answer in the protocol, status " + status);
            }
        }

        private boolean passes() {
            return head == ResponseKind.SUCCESS || head == ResponseKind.FAILURE;
        }

        private boolean notRun() {
            return head == ResponseKind.NOT_RUN_FULL || head == ResponseKind.NOT_RUN_MOVED;
        }

        @Override
        public void onChunk(byte[] data) {
            if (passes()) {
                listener.onData(data);
            }
        }

        @Override
        public void onEnd() {
            if (notRun()) {
                ended(head == ResponseKind.NOT_RUN_FULL ? AttemptOutcome.FULL : AttemptOutcome.FAILED);
                send();
                return;
            }
            ended(head == ResponseKind.SUCCESS ? AttemptOutcome.ANSWERED : AttemptOutcome.ERRORED);
            done = true;
            gateway.crashes().answered(admitted);
            listener.onEnd();
        }

        @Override
        public void onFailure(String reason, boolean requestMayHaveArrived) {
            ended(AttemptOutcome.FAILED);
            if (notRun() || !requestMayHaveArrived) {
                send();
                return;
            }
            done = true;
            gateway.crashes().broke(admitted, endpoint);
            listener.onBroken(reason);
        }
    }

    /** Whether the request may run again after an unknown outcome, by its kind alone. */
    static boolean repeatable(AdmittedRequest admitted) {
        return admitted.route().kind() == RequestKind.IDEMPOTENT;
    }
}
