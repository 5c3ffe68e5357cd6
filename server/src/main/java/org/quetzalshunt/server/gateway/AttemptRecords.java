package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalInt;
import org.quetzalshunt.core.routing.AttemptOutcome;
import org.quetzalshunt.server.http.ConnectionUse;

/** The attempts of one request for its log line: where each was sent, and what was received as its response. */
final class AttemptRecords {
    /** A request that waits for a full service is sent many times; its log line has the first attempts. */
    private static final int MAXIMUM_ATTEMPTS = 8;

    /** Characters of a stamp or an id that a faulty endpoint sent. */
    private static final int MAXIMUM_TEXT_LENGTH = 64;

    private record Attempt(
            String endpoint,
            Optional<ConnectionUse> connection,
            OptionalInt status,
            Optional<ResponseIdentity> identity,
            AttemptOutcome outcome) {}

    private final List<Attempt> attempts = new ArrayList<>();
    private OptionalInt status = OptionalInt.empty();
    private Optional<ResponseIdentity> identity = Optional.empty();

    /** Records the head of the response to the current attempt. */
    void onHead(int receivedStatus, ResponseIdentity receivedIdentity) {
        status = OptionalInt.of(receivedStatus);
        identity = Optional.of(receivedIdentity);
    }

    /** Records the end of the current attempt. */
    void onEnd(String endpoint, Optional<ConnectionUse> connection, AttemptOutcome outcome) {
        if (attempts.size() < MAXIMUM_ATTEMPTS) {
            attempts.add(new Attempt(endpoint, connection, status, identity, outcome));
        }
        status = OptionalInt.empty();
        identity = Optional.empty();
    }

    /** Adds the attempts that have ended, in their order. */
    void addTo(ObjectNode line) {
        if (attempts.isEmpty()) {
            return;
        }
        ArrayNode array = line.putArray("attempts");
        attempts.forEach(attempt -> addTo(array.addObject(), attempt));
    }

    private static void addTo(ObjectNode node, Attempt attempt) {
        node.put("endpoint", attempt.endpoint());
        attempt.connection().ifPresent(connection -> node.put("localPort", connection.localPort())
                .put("requestOnConnection", connection.requestNumber()));
        attempt.status().ifPresent(received -> node.put("status", received));
        attempt.identity().ifPresent(received -> {
            received.stamp().ifPresent(stamp -> node.put("stamp", bounded(stamp)));
            if (received.requestId().isEmpty()) {
                node.put("identified", false);
            }
        });
        node.put("outcome", attempt.outcome().name().toLowerCase(Locale.ROOT));
    }

    /** Text from an endpoint, within the length that a log line takes. */
    static String bounded(String text) {
        return text.length() <= MAXIMUM_TEXT_LENGTH ? text : text.substring(0, MAXIMUM_TEXT_LENGTH);
    }
}
