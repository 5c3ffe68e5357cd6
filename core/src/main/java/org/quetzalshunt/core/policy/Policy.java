package org.quetzalshunt.core.policy;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Set;

/** The mechanisms in force, chosen once at start. */
public final class Policy {
    private final Set<Mechanism> inForce;

    private Policy(Set<Mechanism> inForce) {
        this.inForce = inForce;
    }

    /** All mechanisms. */
    public static Policy whole() {
        return new Policy(EnumSet.allOf(Mechanism.class));
    }

    /** All but some. */
    public static Policy without(Collection<Mechanism> mechanisms) {
        Set<Mechanism> rest = EnumSet.allOf(Mechanism.class);
        rest.removeAll(mechanisms);
        return new Policy(rest);
    }

    /** Whether a mechanism is in force. */
    public boolean has(Mechanism mechanism) {
        return inForce.contains(mechanism);
    }

    @Override
    public String toString() {
        return inForce.toString();
    }
}
