package org.quetzalshunt.core.result;

/** Whether a request ran. {@link #NOT_RUN} is said only where no later step can still run it. */
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

    /** Number used between processes. */
    public int number() {
        return number;
    }

    /** Text used in error bodies. */
    public String label() {
        return label;
    }

    /** Reads a number sent by another process; an unknown number is {@link #UNKNOWN}, the safe reading. */
    public static Execution fromNumber(int number) {
        for (Execution execution : values()) {
            if (execution.number == number) {
                return execution;
            }
        }
        return UNKNOWN;
    }
}
