package org.quetzalshunt.core.decision.admission;

import java.util.OptionalLong;

/** Decides whether a request is refused before it is queued. */
@FunctionalInterface
public interface AdmissionRule {
    /** Minimum retry delay for a refused caller. Below a second, handling the refusal costs more than it saves. */
    long MINIMUM_RETRY_MILLIS = 1_000;

    /**
     * Maximum retry delay for a refused caller. After half a minute the queue has changed completely, and the forecast
     * says nothing about it.
     */
    long MAXIMUM_RETRY_MILLIS = 30_000;

    /** Returns the time after which a refused caller may retry; empty if the request is admitted. */
    OptionalLong retryAfterMillis(Forecast forecast);

    /**
     * Refuses requests that cannot start early enough to meet their deadline. In a lasting overload, each request would
     * otherwise wait until its deadline and then fail, and the requests that do start would have no time left. A
     * request that does not have to wait is always admitted, because its run time is only an estimate.
     */
    static AdmissionRule beforeDeadline() {
        return forecast -> {
            double lateMillis = forecast.waitMillis() + forecast.runMillis() - forecast.timeToDeadlineMillis();
            boolean waits = forecast.waitMillis() > MINIMUM_RETRY_MILLIS;
            return waits && lateMillis > 0 ? OptionalLong.of(boundedRetryMillis(lateMillis)) : OptionalLong.empty();
        };
    }

    /** Admits every request. */
    static AdmissionRule everything() {
        return forecast -> OptionalLong.empty();
    }

    /** Limits a retry delay to the allowed range. */
    static long boundedRetryMillis(double millis) {
        return Math.round(Math.max(MINIMUM_RETRY_MILLIS, Math.min(MAXIMUM_RETRY_MILLIS, millis)));
    }
}
