package org.quetzalshunt.standin.engine;

/**
 * How orders are taken.
 *
 * @param fencing whether an order with a lower fencing token than one seen before is refused
 * @param millis time that an order takes
 * @param failEvery every so many orders one fails; 0: none
 */
public record OrderSettings(boolean fencing, long millis, int failEvery) {
    /** Fencing on, two seconds an order, none fails. */
    public static OrderSettings defaults() {
        return new OrderSettings(true, 2_000, 0);
    }
}
