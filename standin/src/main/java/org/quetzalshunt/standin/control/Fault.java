package org.quetzalshunt.standin.control;

/**
 * One fault as it is ordered.
 *
 * @param kind what goes wrong
 * @param count how many requests it hits; 0 until it is cleared
 * @param millis how long a timed fault lasts (0 until cleared), or the delay that a slow one adds
 * @param text for {@link FaultKind#POISON}: what a request's text must contain
 */
public record Fault(FaultKind kind, int count, long millis, String text) {
    /** A fault that stays until it is cleared. */
    public static Fault untilCleared(FaultKind kind) {
        return new Fault(kind, 0, 0, "");
    }

    /** A fault that hits the next requests only. */
    public static Fault next(FaultKind kind, int count) {
        return new Fault(kind, count, 0, "");
    }

    /** A fault with a length or delay. */
    public static Fault lasting(FaultKind kind, long millis) {
        return new Fault(kind, 0, millis, "");
    }

    /** Makes any request that contains the text end the process. */
    public static Fault poison(String text) {
        return new Fault(FaultKind.POISON, 0, 0, text);
    }
}
