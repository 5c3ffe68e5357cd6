package org.quetzalshunt.core.decision.endpoint;

/** How an endpoint's concurrency limit follows what it delivers. */
@FunctionalInterface
public interface LimitRule {
    /**
     * Slowdown against the unloaded speed that is no reason to lower the limit. Answers the mixture of prompts among
     * answers, which costs each running answer some speed at any load: with 1.0 the limit sinks under every mixture
     * until engines idle, with 2.0 a full batch halves everyone's speed before the limit reacts.
     */
    double TOLERATED_SLOWDOWN = 1.25;

    /**
     * Requests added for each window that shows no slowdown: additive increase, as AIMD has it. A larger step
     * overshoots the knee by as much, a smaller one takes minutes to use an engine that grew faster.
     */
    double INCREASE = 1;

    /** Deepest cut of one window, so that one long prompt or one slow answer halves nothing by itself. */
    double DEEPEST_CUT = 0.8;

    /** Cut after a failure of the endpoint: multiplicative decrease, as AIMD has it. */
    double FAILURE_CUT = 0.5;

    /** Limit below which an endpoint would never get the requests that show its recovery. */
    double SMALLEST_LIMIT = 2;

    /**
     * The next limit.
     *
     * @param limit present limit, in requests
     * @param speed speed of one answer over the last window, in tokens per second
     * @param unloadedSpeed speed of one answer when the endpoint has few
     * @param used most requests that it had in the window
     * @param slots requests that it says it can run
     */
    double next(double limit, double speed, double unloadedSpeed, double used, int slots);

    /**
     * Additive increase while answers keep their speed, a cut in proportion to the slowdown when they do not: a
     * gradient limit in the manner of Netflix's concurrency-limits, on speed per answer in place of round trip time,
     * since a long answer is no sign of load.
     */
    static LimitRule gradient() {
        return (limit, speed, unloadedSpeed, used, slots) -> {
            double gradient = TOLERATED_SLOWDOWN * speed / unloadedSpeed;
            if (gradient < 1) {
                return Math.max(SMALLEST_LIMIT, limit * Math.max(DEEPEST_CUT, gradient));
            }
            boolean wanted = used >= limit - 1;
            return wanted ? Math.min(slots, limit + INCREASE) : Math.min(slots, limit);
        };
    }

    /** What the endpoint says it can run, whatever it delivers. */
    static LimitRule slots() {
        return (limit, speed, unloadedSpeed, used, slots) -> slots;
    }
}
