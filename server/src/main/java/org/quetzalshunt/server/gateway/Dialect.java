package org.quetzalshunt.server.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.route.TrafficConfiguration;
import org.quetzalshunt.core.routing.Registration;
import org.quetzalshunt.server.http.HttpExchange;

/** How the platform's callers, endpoints and operators say things; implementations decide nothing. */
public interface Dialect {
    /** Decodes a request; empty when it lacks its id. */
    Optional<CallerRequest> request(HttpExchange exchange);

    /** Headers of the request as an endpoint gets it: the caller's, less what only the system may set. */
    HttpHeaders outbound(HttpHeaders callerHeaders, OutboundTerms terms);

    /** Whether an endpoint's answer, by its headers, is one to this request. */
    boolean answers(String requestId, HttpHeaders answerHeaders);

    /** Kind of an endpoint's response. */
    ResponseKind head(int status, HttpHeaders answerHeaders);

    /** Headers of an endpoint's answer as the caller gets them. */
    HttpHeaders inbound(HttpHeaders answerHeaders);

    /** Headers of a refusal. */
    HttpHeaders refusal(Refusal refusal, String requestId);

    /** A configuration from its bytes; empty when it is none. */
    Optional<TrafficConfiguration> configuration(byte[] bytes);

    /** The data centre that a record of the operators' map evacuates, by its key; empty for a record of another kind. */
    Optional<String> evacuatedDataCentre(String key);

    /** A registration from its key and bytes; empty when it names no endpoint to use. */
    Optional<Registration> registration(String id, byte[] bytes);
}
