package org.quetzalshunt.core.decision.admission;

/**
 * Expected times of a request if it is queued now.
 *
 * @param waitMillis time until it starts
 * @param runMillis time from its start to its last byte
 * @param timeToDeadlineMillis time until its deadline
 */
public record Forecast(double waitMillis, double runMillis, long timeToDeadlineMillis) {}
