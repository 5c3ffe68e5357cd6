package org.quetzalshunt.core.policy;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Set;

/** The set of enabled mechanisms, chosen once at start. */
public final class Policy {
    private final Set<Mechanism> enabled;

    private Policy(Set<Mechanism> enabled) {
        this.enabled = enabled;
    }

    /** A policy with all mechanisms enabled. */
    public static Policy allEnabled() {
        return new Policy(EnumSet.allOf(Mechanism.class));
    }

    /** A policy with all mechanisms enabled except the given ones. */
    public static Policy without(Collection<Mechanism> mechanisms) {
        Set<Mechanism> enabled = EnumSet.allOf(Mechanism.class);
        enabled.removeAll(mechanisms);
        return new Policy(enabled);
    }

    /**
     * A policy with the mechanisms that need no request, changed by names on the command line.
     *
     * @param with mechanisms that are enabled in any case
     * @param without mechanisms that are not enabled in any case; they override the others
     */
    public static Policy of(Collection<Mechanism> with, Collection<Mechanism> without) {
        Set<Mechanism> enabled = EnumSet.allOf(Mechanism.class);
        enabled.removeIf(Mechanism::isOnRequest);
        enabled.addAll(with);
        enabled.removeAll(without);
        return new Policy(enabled);
    }

    /** Whether a mechanism is enabled. */
    public boolean isEnabled(Mechanism mechanism) {
        return enabled.contains(mechanism);
    }

    @Override
    public String toString() {
        return enabled.toString();
    }
}
