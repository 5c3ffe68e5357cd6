package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.routing.Registration;
import org.quetzalshunt.server.http.ErrorBodies;
import org.quetzalshunt.server.http.HttpExchange;

/** Gives callers their final answers, and writes the one log line of each request. */
final class Outcome {
    private Outcome() {}

    /** Refuses a request before it was judged whole. */
    static void refuse(Gateway gateway, HttpExchange exchange, String requestId, Refusal refusal) {
        send(gateway, exchange, requestId, refusal);
        gateway.measures().ended("none", refusal.code().number(), 0);
        gateway.log()
                .line(gateway.log()
                        .event("refused")
                        .put("request", requestId)
                        .put("code", refusal.code().number())
                        .put("detail", refusal.detail())
                        .put("configurationAgeMillis", gateway.configuration().ageMillis()));
    }

    /** Rejects a request that was admitted, or reports that its outcome is unknown. */
    static void refuse(Gateway gateway, AdmittedRequest admitted, Refusal refusal, Optional<EndpointCall> call) {
        send(gateway, admitted.exchange(), admitted.request().id(), refusal);
        String comeBack = refusal.retryAfterMillis().isPresent()
                ? ", retry after " + refusal.retryAfterMillis().getAsLong() + " ms"
                : "";
        log(gateway, admitted, refusal.code(), refusal.detail() + comeBack, call);
    }

    private static void send(Gateway gateway, HttpExchange exchange, String requestId, Refusal refusal) {
        HttpHeaders headers = gateway.dialect().refusal(refusal, requestId);
        byte[] body = ErrorBodies.json(refusal, requestId);
        exchange.respond(refusal.code().status(), headers, body);
    }

    /** Writes the line of a request that got its final answer. */
    static void log(
            Gateway gateway, AdmittedRequest admitted, ResultCode code, String detail, Optional<EndpointCall> call) {
        long now = gateway.clock().now();
        long took = now - admitted.arrivedMillis();
        gateway.measures().ended(admitted.route().kind().name(), code.number(), took);
        ObjectNode line = gateway.log()
                .event("request")
                .put("request", admitted.request().id())
                .put("route", admitted.route().name())
                .put("account", admitted.accountName())
                .put("code", code.number())
                .put("tookMillis", took)
                .put("targetMillis", admitted.route().targetLatencyMillis())
                .put("leftMillis", admitted.deadlineMillis() - now)
                .put("configuration", admitted.configurationVersion())
                .put("configurationAgeMillis", gateway.configuration().ageMillis())
                .put("registrationsAgeMillis", gateway.registrations().ageMillis());
        admitted.request().program().ifPresent(program -> line.put("program", program));
        admitted.request().programLeftMillis().ifPresent(left -> line.put("programLeftMillis", left - took));
        admitted.timeline().describe(line);
        admitted.request().previousTurn().ifPresent(turn -> line.put("previousTurn", turn));
        call.ifPresent(each -> {
            line.put("sends", each.sends());
            each.firstSentMillis().ifPresent(sent -> line.put("sentAfterMillis", sent - admitted.arrivedMillis()));
            each.endpoint().map(Registration::id).ifPresent(id -> line.put("endpoint", id));
            each.choice().ifPresent(choice -> line.put("expectedMillis", Math.round(choice.expectedMillis()))
                    .put("uncachedTokens", choice.uncachedTokens()));
        });
        if (!detail.isEmpty()) {
            line.put("detail", detail);
        }
        gateway.log().line(line);
    }
}
