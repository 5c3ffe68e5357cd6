package org.quetzalshunt.core.decision.admission;

/**
 * What a request must expect if it is queued now.
 *
 * @param waitMillis until it starts
 * @param runMillis from its start to its last byte
 * @param leftMillis until its deadline
 */
public record Forecast(double waitMillis, double runMillis, long leftMillis) {}
