package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.routing.Registration;
import org.quetzalshunt.server.http.DisconnectCause;
import org.quetzalshunt.server.http.ErrorBodies;
import org.quetzalshunt.server.http.HttpExchange;

/** Sends final error responses to callers, and writes the one log line of each request. */
final class ResultReporter {
    private ResultReporter() {}

    /** Refuses a request that was not admitted. */
    static void refuse(Gateway gateway, HttpExchange exchange, String requestId, Refusal refusal) {
        send(gateway, exchange, requestId, refusal);
        gateway.metrics().recordRequest("none", refusal.code().number(), 0);
        ObjectNode line = gateway.log()
                .event("refused")
                .put("request", requestId)
                .put("code", refusal.code().number())
                .put("detail", refusal.detail())
                .put("configurationAgeMillis", gateway.configuration().ageMillis());
        addStop(line, gateway, gateway.clock().now());
        gateway.log().write(line);
    }

    /** Refuses an admitted request, or reports that its outcome is unknown. */
    static void refuse(Gateway gateway, AdmittedRequest admitted, Refusal refusal, Optional<EndpointCall> call) {
        send(gateway, admitted.exchange(), admitted.request().id(), refusal);
        String retryText = refusal.retryAfterMillis().isPresent()
                ? ", retry after " + refusal.retryAfterMillis().getAsLong() + " ms"
                : "";
        logResult(gateway, admitted, refusal.code(), refusal.detail() + retryText, call);
    }

    private static void send(Gateway gateway, HttpExchange exchange, String requestId, Refusal refusal) {
        HttpHeaders headers = gateway.dialect().refusalHeaders(refusal, requestId);
        byte[] body = ErrorBodies.json(refusal, requestId);
        exchange.respond(refusal.code().status(), headers, body);
    }

    private static void addStop(ObjectNode line, Gateway gateway, long now) {
        gateway.stop().sinceMillis(now).ifPresent(since -> line.put("sinceStopMillis", since));
    }

    /** Reports a request whose caller disconnected, or was disconnected, before its final response. */
    static void logDisconnected(Gateway gateway, AdmittedRequest admitted, Optional<EndpointCall> call) {
        Optional<DisconnectCause> cause = admitted.exchange().disconnectCause();
        ResultCode code = cause.isPresent() ? ResultCode.CALLER_TOO_SLOW : ResultCode.CANCELLED;
        String detail = cause.map(DisconnectCause::detail).orElse("the caller disconnected");
        logResult(gateway, admitted, code, detail, call);
    }

    /** Records the metrics and writes the log line of a request that got its final response. */
    static void logResult(
            Gateway gateway, AdmittedRequest admitted, ResultCode code, String detail, Optional<EndpointCall> call) {
        long now = gateway.clock().now();
        long tookMillis = now - admitted.arrivedMillis();
        gateway.metrics().recordRequest(admitted.route().kind().name(), code.number(), tookMillis);
        ObjectNode line = gateway.log()
                .event("request")
                .put("request", admitted.request().id())
                .put("route", admitted.route().name())
                .put("account", admitted.accountName())
                .put("code", code.number())
                .put("tookMillis", tookMillis)
                .put("targetMillis", admitted.route().targetLatencyMillis())
                .put("leftMillis", admitted.deadlineMillis() - now)
                .put("configuration", admitted.configurationVersion())
                .put("configurationAgeMillis", gateway.configuration().ageMillis())
                .put("registrationsAgeMillis", gateway.registrations().ageMillis());
        admitted.request().program().ifPresent(program -> line.put("program", program));
        admitted.request().programLeftMillis().ifPresent(left -> line.put("programLeftMillis", left - tookMillis));
        admitted.timeline().addTo(line);
        gateway.starts().addTo(line, gateway, admitted);
        gateway.shares().addTo(line, admitted);
        admitted.request().previousTurn().ifPresent(turn -> line.put("previousTurn", turn));
        call.ifPresent(endpointCall -> {
            line.put("sends", endpointCall.attemptCount());
            endpointCall.records().addTo(line);
            if (endpointCall.flow().wasBlocked()) {
                line.put("heldBackMillis", endpointCall.flow().pausedMillis());
            }
            endpointCall
                    .firstSentMillis()
                    .ifPresent(sent -> line.put("sentAfterMillis", sent - admitted.arrivedMillis()));
            endpointCall.endpoint().map(Registration::id).ifPresent(id -> {
                line.put("endpoint", id);
                RoutingReports.addTo(line, gateway, id);
            });
            endpointCall.selection().ifPresent(selection -> line.put(
                            "expectedMillis", Math.round(selection.expectedMillis()))
                    .put("uncachedTokens", selection.uncachedTokens()));
        });
        if (!detail.isEmpty()) {
            line.put("detail", detail);
        }
        addStop(line, gateway, now);
        gateway.log().write(line);
    }
}
