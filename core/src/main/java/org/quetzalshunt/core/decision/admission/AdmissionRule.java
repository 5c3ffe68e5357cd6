package org.quetzalshunt.core.decision.admission;

import java.util.OptionalLong;

/** Whether a request is refused before it waits. */
@FunctionalInterface
public interface AdmissionRule {
    /**
     * Shortest and longest time that a refused caller is asked to stay away. Below a second a refusal costs more than
     * it spares; beyond half a minute the queue has turned over and the forecast says nothing.
     */
    long SHORTEST_RETRY_MILLIS = 1_000;

    /** See {@link #SHORTEST_RETRY_MILLIS}. */
    long LONGEST_RETRY_MILLIS = 30_000;

    /** When to come back; empty when the request is let in. */
    OptionalLong refuse(Forecast forecast);

    /**
     * Refuses what cannot start in time to end by its deadline. Answers a standing overload: without it each request
     * waits until its deadline and fails then, its caller has waited for nothing, and what does start has no time
     * left. A request that has to wait for nothing is let in however long it looks, since its length is a guess.
     */
    static AdmissionRule beforeDeadline() {
        return forecast -> {
            double late = forecast.waitMillis() + forecast.runMillis() - forecast.leftMillis();
            boolean waits = forecast.waitMillis() > SHORTEST_RETRY_MILLIS;
            return waits && late > 0 ? OptionalLong.of(bounded(late)) : OptionalLong.empty();
        };
    }

    /** Lets everything in. */
    static AdmissionRule everything() {
        return forecast -> OptionalLong.empty();
    }

    /** A time to stay away, within bounds. */
    static long bounded(double millis) {
        return Math.round(Math.max(SHORTEST_RETRY_MILLIS, Math.min(LONGEST_RETRY_MILLIS, millis)));
    }
}
