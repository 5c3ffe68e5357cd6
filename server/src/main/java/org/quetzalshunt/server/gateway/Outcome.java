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

    /** Refuses a request that was judged, or tells that its outcome is unknown. */
    static void refuse(Gateway gateway, AdmittedRequest accepted, Refusal refusal, Optional<EndpointCall> call) {
        send(gateway, accepted.exchange(), accepted.request().id(), refusal);
        log(gateway, accepted, refusal.code(), refusal.detail(), call);
    }

    private static void send(Gateway gateway, HttpExchange exchange, String requestId, Refusal refusal) {
        HttpHeaders headers = gateway.dialect().refusal(refusal, requestId);
        byte[] body = ErrorBodies.json(refusal, requestId);
        exchange.respond(refusal.code().status(), headers, body);
    }

    /** Writes the line of a request that got its final answer. */
    static void log(
            Gateway gateway, AdmittedRequest accepted, ResultCode code, String detail, Optional<EndpointCall> call) {
        long now = gateway.clock().now();
        long took = now - accepted.arrivedMillis();
        gateway.measures().ended(accepted.route().kind().name(), code.number(), took);
        ObjectNode line = gateway.log()
                .event("request")
                .put("request", accepted.request().id())
                .put("route", accepted.route().name())
                .put("account", accepted.accountName())
                .put("code", code.number())
                .put("tookMillis", took)
                .put("leftMillis", accepted.deadlineMillis() - now)
                .put("configuration", accepted.configurationVersion())
                .put("configurationAgeMillis", gateway.configuration().ageMillis())
                .put("registrationsAgeMillis", gateway.registrations().ageMillis());
        accepted.request().program().ifPresent(program -> line.put("program", program));
        accepted.request().previousTurn().ifPresent(turn -> line.put("previousTurn", turn));
        call.ifPresent(each -> {
            line.put("sends", each.sends());
            each.firstSentMillis().ifPresent(sent -> line.put("sentAfterMillis", sent - accepted.arrivedMillis()));
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
