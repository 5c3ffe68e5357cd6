package org.quetzalshunt.core.result;

/** Whether a request ran. {@link #NOT_RUN} guarantees that no later step runs it either. */
public enum Execution {
    NOT_RUN(0, "not run"),
    RAN(1, "ran"),
    UNKNOWN(2, "unknown");

    private final int number;
    private final String label;

    Execution(int number, String label) {
        this.number = number;
        this.label = label;
    }

    /** Number on the wire between processes. */
    public int number() {
        return number;
    }

    /** Text in error bodies. */
    public String label() {
        return label;
    }

    /** Decodes a number from the wire; an unrecognized number is {@link #UNKNOWN}, the safe interpretation. */
    public static Execution fromNumber(int number) {
        for (Execution execution : values()) {
            if (execution.number == number) {
                return execution;
            }
        }
        return UNKNOWN;
    }
}
