package org.quetzalshunt.server.gateway;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.Optional;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.route.TrafficConfiguration;
import org.quetzalshunt.core.routing.Registration;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.server.http.ResponseMatch;

/** Dialect that decodes only evacuations, for tests of components that pass other bytes on unread. */
class EvacuationDialect implements Dialect {
    @Override
    public Optional<CallerRequest> decodeRequest(HttpExchange exchange) {
        return Optional.empty();
    }

    @Override
    public HttpHeaders endpointRequestHeaders(HttpHeaders callerHeaders, OutboundHeaderValues terms) {
        return callerHeaders;
    }

    @Override
    public ResponseMatch responseMatch(String requestId, HttpHeaders answerHeaders) {
        return ResponseMatch.FOREIGN;
    }

    @Override
    public ResponseIdentity responseIdentity(HttpHeaders answerHeaders) {
        return new ResponseIdentity(Optional.empty(), Optional.empty());
    }

    @Override
    public ResponseKind responseKind(int status, HttpHeaders answerHeaders) {
        return ResponseKind.INVALID;
    }

    @Override
    public HttpHeaders callerResponseHeaders(HttpHeaders answerHeaders) {
        return answerHeaders;
    }

    @Override
    public HttpHeaders refusalHeaders(Refusal refusal, String requestId) {
        return new DefaultHttpHeaders();
    }

    @Override
    public Decoded<TrafficConfiguration> configuration(byte[] bytes) {
        return Decoded.refused("not decoded");
    }

    /** Each key is the name of a data centre. */
    @Override
    public Optional<String> evacuatedDataCentre(String key) {
        return Optional.of(key);
    }

    @Override
    public Decoded<Registration> registration(String id, byte[] bytes) {
        return Decoded.refused("not decoded");
    }
}
