package org.quetzalshunt.core.limit;

/**
 * The state of one account at one entry, for status pages and metrics.
 *
 * @param key account
 * @param requestsPerSecond rate over the whole fleet
 * @param burst burst over the whole fleet
 * @param parts this entry's parts, in millionths
 * @param tokens tokens available at this entry
 * @param partsInTransfer parts sent and not yet acknowledged, in millionths
 * @param waiting requests that wait for tokens at this entry
 * @param demandPerSecond requests per second that recently arrived at this entry
 * @param taken tokens taken at this entry since its start, less those returned
 * @param refused requests refused at this entry since its start
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
