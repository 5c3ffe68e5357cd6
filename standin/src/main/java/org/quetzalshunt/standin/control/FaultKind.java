package org.quetzalshunt.standin.control;

import java.util.Optional;

/** Kinds of faults, with the names used in {@code POST /standin/faults}. */
public enum FaultKind {
    OUTAGE("outage", true),
    SLOW("slow", false),
    LOST_ANSWER("lostAnswer", false),
    REFUSE("refuse", false),
    LIST_FROZEN("listFrozen", true),
    CRASH("crash", true),
    EXIT("exit", false),
    HANG("hang", false),
    CUT("cut", false),
    POISON("poison", false);

    private final String label;
    private final boolean timed;

    FaultKind(String label, boolean timed) {
        this.label = label;
        this.timed = timed;
    }

    /** Name in requests. */
    public String label() {
        return label;
    }

    /** Whether {@code millis} is how long the fault lasts; otherwise it is a delay, or without meaning. */
    public boolean timed() {
        return timed;
    }

    /** Finds a kind by its name in requests. */
    public static Optional<FaultKind> fromLabel(String label) {
        for (FaultKind kind : values()) {
            if (kind.label.equals(label)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
