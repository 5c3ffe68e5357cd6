package org.quetzalshunt.server.gateway;

import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.route.TrafficConfiguration;
import org.quetzalshunt.core.routing.Registration;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.server.http.ResponseMatch;

/**
 * Encodes and decodes requests, headers and records in the platform's formats. Implementations convert only and make
 * no decisions.
 */
public interface Dialect {
    /** Decodes a request; empty if it has no id. */
    Optional<CallerRequest> decodeRequest(HttpExchange exchange);

    /**
     * Headers of the request to an endpoint: the caller's headers without those that only the gateway may set, plus
     * the given terms.
     */
    HttpHeaders endpointRequestHeaders(HttpHeaders callerHeaders, OutboundHeaderValues terms);

    /** Whether the headers of a response identify it as the response to this request. */
    ResponseMatch responseMatch(String requestId, HttpHeaders answerHeaders);

    /** What a response states about itself, for the log. */
    ResponseIdentity responseIdentity(HttpHeaders answerHeaders);

    /** Kind of an endpoint's response, by its status and headers. */
    ResponseKind responseKind(int status, HttpHeaders answerHeaders);

    /** Headers of the response to the caller, from those of the endpoint's response. */
    HttpHeaders callerResponseHeaders(HttpHeaders answerHeaders);

    /** Headers of an error response. */
    HttpHeaders refusalHeaders(Refusal refusal, String requestId);

    /** Decodes a configuration; refused if the bytes are not a valid one. */
    Decoded<TrafficConfiguration> configuration(byte[] bytes);

    /**
     * The data centre that an operator's record evacuates, by the key of the record; empty for other kinds of records.
     */
    Optional<String> evacuatedDataCentre(String key);

    /** Decodes a registration; refused if it describes no usable endpoint. */
    Decoded<Registration> registration(String id, byte[] bytes);
}
