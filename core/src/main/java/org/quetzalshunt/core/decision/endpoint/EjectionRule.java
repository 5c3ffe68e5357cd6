package org.quetzalshunt.core.decision.endpoint;

import java.util.OptionalLong;

/** When an endpoint that fails gets nothing for a while. */
@FunctionalInterface
public interface EjectionRule {
    /**
     * Failures in a row that eject. One may be the request's own fault (two endpoints may die of one poisonous
     * request before it is quarantined), so one and two are not enough; each further one costs a caller a retry.
     */
    int FAILURES = 3;

    /** First ejection; shorter than the restart of an engine, so that a mere stumble costs little. */
    long FIRST_MILLIS = 5_000;

    /** Longest ejection, by doubling: an endpoint that stays broken costs three failures in this time. */
    long LONGEST_MILLIS = 80_000;

    /**
     * Part of a service's endpoints that may be ejected at once. Answers a fault that all share, such as a broken
     * adapter or a poisonous request sent again and again: ejecting all would turn a partial fault into an outage,
     * and two thirds can carry the load of a service that runs at 60%.
     */
    double LARGEST_PART = 1.0 / 3;

    /**
     * How long an endpoint that just failed is to be left alone; empty for not at all.
     *
     * @param failures its failures, the last one included
     * @param ejectedNow endpoints of its service that are ejected
     * @param endpoints endpoints of its service
     */
    OptionalLong eject(FailureRecord failures, int ejectedNow, int endpoints);

    /** Consecutive failures, doubling, and never more than a third, but one of two or more. */
    static EjectionRule consecutiveFailures() {
        return (failures, ejectedNow, endpoints) -> {
            int most = endpoints < 2 ? 0 : Math.max(1, (int) (endpoints * LARGEST_PART));
            if (failures.consecutive() < FAILURES || ejectedNow >= most) {
                return OptionalLong.empty();
            }
            long millis = FIRST_MILLIS << Math.min(failures.ejections(), Long.SIZE / 4);
            return OptionalLong.of(Math.min(LONGEST_MILLIS, millis));
        };
    }

    /** Endpoints are used until they say themselves that they are gone. */
    static EjectionRule never() {
        return (failures, ejectedNow, endpoints) -> OptionalLong.empty();
    }
}
