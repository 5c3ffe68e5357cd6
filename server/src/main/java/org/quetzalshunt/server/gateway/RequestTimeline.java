package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Map;

/**
 * Times at which a request completed its processing steps, in milliseconds since it was fully received; written to its
 * log line.
 */
final class RequestTimeline {
    /** Steps in processing order; a step that was not reached is left out of the log line. */
    enum Step {
        SLOT("slotAfterMillis"),
        TOKEN("tokenAfterMillis"),
        HISTORY("historyAfterMillis"),
        GRANT("grantAfterMillis"),
        FIRST_EVENT("firstEventAfterMillis"),
        LAST_EVENT("lastEventAfterMillis");

        private final String field;

        Step(String field) {
            this.field = field;
        }
    }

    private final NodeClock clock;
    private final long arrivedMillis;
    private final Map<Step, Long> afterMillis = new EnumMap<>(Step.class);
    private long longestPauseMillis;

    RequestTimeline(NodeClock clock, long arrivedMillis) {
        this.clock = clock;
        this.arrivedMillis = arrivedMillis;
    }

    /** Records the end of a step; only the first call for a step counts. */
    void markReached(Step step) {
        afterMillis.putIfAbsent(step, clock.now() - arrivedMillis);
    }

    /** Records that events of the response were sent to the caller. */
    void markEventsSent() {
        long now = clock.now() - arrivedMillis;
        markReached(Step.FIRST_EVENT);
        Long previous = afterMillis.put(Step.LAST_EVENT, now);
        if (previous != null) {
            longestPauseMillis = Math.max(longestPauseMillis, now - previous);
        }
    }

    /** Adds the completed steps to a log line. */
    void addTo(ObjectNode line) {
        afterMillis.forEach((step, millis) -> line.put(step.field, millis));
        if (longestPauseMillis > 0) {
            line.put("longestPauseMillis", longestPauseMillis);
        }
    }
}
