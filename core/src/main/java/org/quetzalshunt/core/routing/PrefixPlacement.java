package org.quetzalshunt.core.routing;

import java.util.List;
import java.util.Optional;
import org.quetzalshunt.core.membership.Rendezvous;

/**
 * Assigns a prompt part that is not cached anywhere to one endpoint. All VMs choose the same endpoint without
 * communication, by rendezvous hashing over the endpoints that hold the most preceding parts.
 *
 * <p>Load patterns: all VMs start at once, and each of them would have the common parts prefilled at a different
 * endpoint; turns of a program reach different VMs faster than the prefix locations do; VMs restart and have lost all
 * prefix locations, while the engines still hold the prefixes.
 */
final class PrefixPlacement {
    /**
     * The endpoint that a part is assigned to.
     *
     * @param endpoint id of the endpoint
     * @param creditedTokens size of the part, which the selection counts as cached there
     */
    record Assignment(String endpoint, long creditedTokens) {}

    /** An engine that was at least this old when this process started has most likely cached the common parts. */
    private static final long WARM_AGE_MILLIS = 10_000;

    /** Time from the first selection in which a process relies on this assumption; its own records suffice later. */
    private static final long ASSUMPTION_MILLIS = 20_000;

    private final long startedMillis;
    private long assumedUntilMillis = Long.MAX_VALUE;

    /**
     * Creates the placement.
     *
     * @param startedMillis when the process started, in Unix milliseconds
     */
    PrefixPlacement(long startedMillis) {
        this.startedMillis = startedMillis;
    }

    /** Assigns the first part of a prompt that no endpoint holds; empty when some endpoint holds the whole prompt. */
    Optional<Assignment> assign(long nowMillis, List<EndpointRow> open, List<PrefixPart> prompt) {
        int most = 0;
        for (EndpointRow row : open) {
            most = Math.max(most, cachedParts(nowMillis, row, prompt));
        }
        if (most >= prompt.size()) {
            return Optional.empty();
        }
        int mostCached = most;
        List<EndpointRow> holders = open.stream()
                .filter(row -> cachedParts(nowMillis, row, prompt) == mostCached)
                .toList();
        return assignByRendezvous(holders, prompt.get(mostCached));
    }

    private int cachedParts(long nowMillis, EndpointRow row, List<PrefixPart> prompt) {
        int recorded = row.prefixCache.cachedParts(prompt);
        return recorded == 0 && prompt.size() > 1 && isAssumedWarm(nowMillis, row) ? 1 : recorded;
    }

    /** Returns the tokens that need prefill at an endpoint, without the common part if it is assumed to be cached. */
    long uncachedTokens(long nowMillis, EndpointRow row, List<PrefixPart> prompt) {
        boolean commonCached =
                prompt.size() > 1 && row.prefixCache.cachedParts(prompt) == 0 && isAssumedWarm(nowMillis, row);
        return row.prefixCache.uncachedTokens(commonCached ? prompt.subList(1, prompt.size()) : prompt);
    }

    /** Whether an endpoint is assumed to hold the common parts because it was running long before this process. */
    boolean isAssumedWarm(long nowMillis, EndpointRow row) {
        if (assumedUntilMillis == Long.MAX_VALUE) {
            assumedUntilMillis = nowMillis + ASSUMPTION_MILLIS;
        }
        long endpointStartedMillis = row.registration.startedMillis();
        return nowMillis < assumedUntilMillis
                && endpointStartedMillis > 0
                && endpointStartedMillis < startedMillis - WARM_AGE_MILLIS;
    }

    private static Optional<Assignment> assignByRendezvous(List<EndpointRow> candidates, PrefixPart part) {
        List<String> ids = candidates.stream().map(row -> row.registration.id()).toList();
        return Rendezvous.winner(part.id(), ids).map(id -> new Assignment(id, part.tokens()));
    }
}
