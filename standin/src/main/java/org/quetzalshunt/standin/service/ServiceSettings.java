package org.quetzalshunt.standin.service;

/**
 * How the plain service behaves when no fault is on.
 *
 * @param callMillis time that each call takes
 */
public record ServiceSettings(long callMillis) {
    /** A quick tool. */
    public static ServiceSettings defaults() {
        return new ServiceSettings(20);
    }
}
