package org.quetzalshunt.core.routing;

import java.util.List;
import java.util.Optional;
import org.quetzalshunt.core.membership.Rendezvous;

/**
 * Assigns the first prompt part that no open endpoint is known to have cached to one endpoint. VMs with the same
 * endpoints and prefix locations choose the same one without communication, by rendezvous hashing over the endpoints
 * that hold the most preceding parts.
 *
 * <p>Guards against repeated prefill of shared prefixes at different endpoints when all VMs start together, against
 * turns that arrive at a VM before the prefix locations of the previous turn, and against the loss of all prefix
 * locations in a restart while the engines still hold the prefixes.
 */
final class PrefixPlacement {
    /**
     * The endpoint that a part is assigned to.
     *
     * @param endpoint id of the endpoint
     * @param creditedTokens tokens of the part; the selection treats them as already cached at the endpoint
     */
    record Assignment(String endpoint, long creditedTokens) {}

    /**
     * An engine that was running for longer than this when this process started has most likely cached the first part
     * of its prompts, which they share.
     */
    private static final long WARM_AGE_MILLIS = 10_000;

    /** Duration of this assumption, from its first use; later, the recorded prefix locations suffice. */
    private static final long ASSUMPTION_MILLIS = 20_000;

    private final long startedMillis;
    private long assumedUntilMillis = Long.MAX_VALUE;

    /**
     * @param startedMillis when the process started, in Unix milliseconds
     */
    PrefixPlacement(long startedMillis) {
        this.startedMillis = startedMillis;
    }

    /**
     * Returns the endpoint for the first part that no open endpoint has cached; empty if one has cached the whole
     * prompt, or if none is open.
     */
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

    /** Returns the tokens that need prefill at an endpoint, without the first part if it is assumed to be cached. */
    long uncachedTokens(long nowMillis, EndpointRow row, List<PrefixPart> prompt) {
        boolean commonCached =
                prompt.size() > 1 && row.prefixCache.cachedParts(prompt) == 0 && isAssumedWarm(nowMillis, row);
        return row.prefixCache.uncachedTokens(commonCached ? prompt.subList(1, prompt.size()) : prompt);
    }

    /**
     * Whether the first part of a prompt is assumed to be cached at an endpoint: it started more than 10 s before this
     * process, and the period in which the process relies on the assumption has not ended. The first call starts it.
     */
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
