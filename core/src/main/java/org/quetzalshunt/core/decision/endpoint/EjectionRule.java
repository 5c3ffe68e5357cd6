package org.quetzalshunt.core.decision.endpoint;

import java.util.OptionalLong;

/** Decides when a failing endpoint is ejected, so that it gets no requests for a while. */
@FunctionalInterface
public interface EjectionRule {
    /**
     * Consecutive failures that cause an ejection. One or two failures may be caused by the request itself: a request
     * that crashes engines may do so at two endpoints before it is quarantined. Each further failure costs a caller a
     * retry.
     */
    int CONSECUTIVE_FAILURES = 3;

    /**
     * Duration of the first ejection. It is shorter than the restart of an engine, so that a brief fault costs little.
     */
    long INITIAL_MILLIS = 5_000;

    /** Maximum duration, reached by doubling: an endpoint that stays broken costs three failures per period. */
    long MAXIMUM_MILLIS = 80_000;

    /**
     * Part of a service's endpoints that may be ejected at the same time. If all endpoints share a fault, such as a
     * broken adapter or a request that crashes engines and is sent repeatedly, ejecting all of them would turn a
     * partial fault into an outage. Two thirds of the endpoints can carry the load of a service that is 60% utilised.
     */
    double MAXIMUM_EJECTED_PART = 1.0 / 3;

    /**
     * Returns how long an endpoint that just failed is ejected; empty if it is not.
     *
     * @param failures its failures, including the last one
     * @param ejectedNow number of endpoints of its service that are ejected
     * @param endpoints number of endpoints of its service
     */
    OptionalLong ejectionMillis(FailureRecord failures, int ejectedNow, int endpoints);

    /**
     * Ejects after consecutive failures for a time that doubles. At most a third of the endpoints are ejected, but at
     * least one if there are two or more.
     */
    static EjectionRule consecutiveFailures() {
        return (failures, ejectedNow, endpoints) -> {
            int maximum = endpoints < 2 ? 0 : Math.max(1, (int) (endpoints * MAXIMUM_EJECTED_PART));
            if (failures.consecutive() < CONSECUTIVE_FAILURES || ejectedNow >= maximum) {
                return OptionalLong.empty();
            }
            long millis = INITIAL_MILLIS << Math.min(failures.ejections(), Long.SIZE / 4);
            return OptionalLong.of(Math.min(MAXIMUM_MILLIS, millis));
        };
    }

    /** Never ejects: endpoints are used until they report that they shut down. */
    static EjectionRule never() {
        return (failures, ejectedNow, endpoints) -> OptionalLong.empty();
    }
}
