package org.quetzalshunt.core.limit;

/**
 * What one entry holds of one account, for status pages and metrics.
 *
 * @param key account
 * @param requestsPerSecond rate of the whole fleet
 * @param burst burst of the whole fleet
 * @param parts this entry's part in millionths
 * @param tokens tokens at hand here
 * @param partsInTransfer parts sent and not yet acknowledged, in millionths
 * @param waiting requests that wait for tokens here
 * @param demandPerSecond requests a second that came here of late
 * @param taken tokens taken here since the start, less those given back
 * @param refused requests refused here since the start
 */
public record LimitStatus(
        AccountKey key,
        double requestsPerSecond,
        double burst,
        long parts,
        double tokens,
        long partsInTransfer,
        int waiting,
        double demandPerSecond,
        long taken,
        long refused) {}
