package org.quetzalshunt.standin.control;

import java.util.Optional;

/** Kinds of faults, with their names in {@code POST /standin/faults}. */
public enum FaultKind {
    /** The log service answers every call with status 503. */
    OUTAGE("outage", true),
    /** Responses are delayed. The engine delays each word of a response. */
    SLOW("slow", false),
    /** An append is stored, and the connection is closed without a response. */
    LOST_ANSWER("lostAnswer", false),
    /** Requests are answered with status 503 and are not executed. */
    REFUSE("refuse", false),
    /** Changes do not become visible in the VM list. */
    LIST_FROZEN("listFrozen", true),
    /** Runs, running orders and the cache are lost. While the fault is active, every connection is closed. */
    CRASH("crash", true),
    /** The process halts: at once or, for a fault with a count, when the next chat completion arrives. */
    EXIT("exit", false),
    /** Requests are not answered. */
    HANG("hang", false),
    /** The connection is closed before the end of the response. */
    CUT("cut", false),
    /** The process halts when a request contains the text of the fault. */
    POISON("poison", false);

    private final String label;
    private final boolean timed;

    FaultKind(String label, boolean timed) {
        this.label = label;
        this.timed = timed;
    }

    /** Name in {@code POST /standin/faults}. */
    public String label() {
        return label;
    }

    /** Whether {@code millis} is the duration of the fault; for other kinds it is a delay or is ignored. */
    public boolean timed() {
        return timed;
    }

    /** Finds a kind by its name in {@code POST /standin/faults}. */
    public static Optional<FaultKind> fromLabel(String label) {
        for (FaultKind kind : values()) {
            if (kind.label.equals(label)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
