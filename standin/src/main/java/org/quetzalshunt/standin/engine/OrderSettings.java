package org.quetzalshunt.standin.engine;

/**
 * Handling of orders.
 *
 * @param fencing whether an order is rejected if its fencing token is lower than the highest one so far
 * @param millis duration of an order
 * @param failEvery one order in this many fails; 0: none
 */
public record OrderSettings(boolean fencing, long millis, int failEvery) {
    /** Fencing tokens are checked, an order takes two seconds, and none fails. */
    public static OrderSettings defaults() {
        return new OrderSettings(true, 2_000, 0);
    }
}
