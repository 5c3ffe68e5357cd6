package org.quetzalshunt.core.routing;

import java.util.EnumSet;
import java.util.Set;
import java.util.function.Predicate;
import org.quetzalshunt.core.policy.Mechanism;

/**
 * The parts of load control that are on for a request, and what they need to know about it.
 *
 * @param enabled the parts of endpoint selection that are on
 * @param route route of the request, by which the usual time of requests without a prompt is learnt
 * @param objectiveMillis latency objective of the request; infinite if it has none
 * @param program program that the request belongs to; empty if unknown or if {@link Mechanism#LOCAL_FIRST} is off
 */
public record RoutingOptions(Set<Mechanism> enabled, String route, double objectiveMillis, String program) {
    /** All parts are off. */
    public static final RoutingOptions OFF = new RoutingOptions(Set.of(), "", Double.POSITIVE_INFINITY, "");

    private static final Set<Mechanism> PARTS =
            EnumSet.of(Mechanism.SPEED_SAMPLING, Mechanism.SLOWDOWN_DETECTION, Mechanism.LOCAL_FIRST);

    /** Creates options with the parts that are enabled. */
    public static RoutingOptions of(
            Predicate<Mechanism> isEnabled, String route, double objectiveMillis, String program) {
        EnumSet<Mechanism> enabled = EnumSet.noneOf(Mechanism.class);
        PARTS.stream().filter(isEnabled).forEach(enabled::add);
        // Without it, prefix locations are reported as if programs were unknown.
        String knownProgram = enabled.contains(Mechanism.LOCAL_FIRST) ? program : "";
        return new RoutingOptions(enabled, route, objectiveMillis, knownProgram);
    }

    boolean isOn(Mechanism part) {
        return enabled.contains(part);
    }
}
