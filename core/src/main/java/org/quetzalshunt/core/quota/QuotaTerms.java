package org.quetzalshunt.core.quota;

/**
 * An account's quota over the whole fleet.
 *
 * @param ratePerSecond requests a second
 * @param burst requests beyond that at once
 */
public record QuotaTerms(double ratePerSecond, double burst) {}
