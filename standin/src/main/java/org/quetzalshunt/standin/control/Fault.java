package org.quetzalshunt.standin.control;

/**
 * A fault to inject.
 *
 * @param kind kind of the failure
 * @param count number of requests that it applies to; 0: every request until the fault is cleared
 * @param millis duration of a timed fault (0: until it is cleared), or the delay that {@link FaultKind#SLOW} adds
 * @param text for {@link FaultKind#POISON}: text in a request that triggers the fault
 */
public record Fault(FaultKind kind, int count, long millis, String text) {
    /** Creates a fault that stays active until it is cleared. */
    public static Fault untilCleared(FaultKind kind) {
        return new Fault(kind, 0, 0, "");
    }

    /** Creates a fault that applies to the next {@code count} requests. */
    public static Fault next(FaultKind kind, int count) {
        return new Fault(kind, count, 0, "");
    }

    /** Creates a fault with a duration or a delay. */
    public static Fault lasting(FaultKind kind, long millis) {
        return new Fault(kind, 0, millis, "");
    }

    /** Creates a fault by which every request that contains the text halts the process. */
    public static Fault poison(String text) {
        return new Fault(FaultKind.POISON, 0, 0, text);
    }
}
