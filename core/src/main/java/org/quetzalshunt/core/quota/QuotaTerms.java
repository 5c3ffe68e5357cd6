package org.quetzalshunt.core.quota;

/**
 * An account's quota over the whole fleet.
 *
 * @param ratePerSecond sustained requests per second
 * @param burst requests that may arrive at once, beyond the sustained rate
 */
public record QuotaTerms(double ratePerSecond, double burst) {}
