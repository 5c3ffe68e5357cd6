package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Map;

/** When the steps of a request's life ended, in milliseconds since it had arrived whole; for its log line. */
final class RequestTimeline {
    /** Steps in the order of a request's path; a step that was not reached is left out of the line. */
    enum Step {
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

    /** A step has ended; the first time counts. */
    void reached(Step step) {
        afterMillis.putIfAbsent(step, clock.now() - arrivedMillis);
    }

    /** Events of the answer were passed to the caller. */
    void passedEvents() {
        long now = clock.now() - arrivedMillis;
        reached(Step.FIRST_EVENT);
        Long before = afterMillis.put(Step.LAST_EVENT, now);
        if (before != null) {
            longestPauseMillis = Math.max(longestPauseMillis, now - before);
        }
    }

    /** Adds the steps that were reached. */
    void describe(ObjectNode line) {
        afterMillis.forEach((step, millis) -> line.put(step.field, millis));
        if (longestPauseMillis > 0) {
            line.put("longestPauseMillis", longestPauseMillis);
        }
    }
}
