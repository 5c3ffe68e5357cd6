package org.quetzalshunt.standin.service;

/**
 * Behaviour of the plain service while no fault is active.
 *
 * @param callMillis duration of each call
 */
public record ServiceSettings(long callMillis) {
    /** Settings of a fast service. */
    public static ServiceSettings defaults() {
        return new ServiceSettings(20);
    }
}
