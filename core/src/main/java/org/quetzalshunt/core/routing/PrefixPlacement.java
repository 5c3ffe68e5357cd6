package org.quetzalshunt.core.routing;

import java.util.List;
import java.util.Optional;
import org.quetzalshunt.core.membership.Rendezvous;

/**
 * The endpoint that reads a part of a prompt which none is known to hold: all VMs take the same, by rendezvous hashing over
 * the endpoints that hold most of what comes before it. So VMs agree without communication.
 *
 * <p>Load patterns: a start of all, in which each VM would have each common part read at another endpoint; turns that move
 * between VMs faster than word of them; VMs that were killed and have forgotten where all lines ran, while the engines
 * still hold them.
 */
final class PrefixPlacement {
    /**
     * A home.
     *
     * @param endpoint its id
     * @param sparedTokens tokens that are counted as held there
     */
    record Home(String endpoint, long sparedTokens) {}

    /** Engines of this age when this process began have most likely read the common parts already. */
    private static final long WARM_MILLIS = 10_000;

    /** For so long after this process began that is counted on; then it knows itself what it had read. */
    private static final long TRUST_MILLIS = 20_000;

    private final long startedMillis;
    private long trustedUntilMillis = Long.MAX_VALUE;

    /** Makes the rule for a process that began at a Unix time in milliseconds. */
    PrefixPlacement(long startedMillis) {
        this.startedMillis = startedMillis;
    }

    /** The home of the first part that is held nowhere; empty when some endpoint holds the whole prompt. */
    Optional<Home> find(long nowMillis, List<EndpointRow> open, List<PrefixPart> prompt) {
        int deepest = 0;
        for (EndpointRow row : open) {
            deepest = Math.max(deepest, heldParts(nowMillis, row, prompt));
        }
        if (deepest >= prompt.size()) {
            return Optional.empty();
        }
        int depth = deepest;
        List<EndpointRow> holders = open.stream()
                .filter(row -> heldParts(nowMillis, row, prompt) == depth)
                .toList();
        return home(holders, prompt.get(depth));
    }

    private int heldParts(long nowMillis, EndpointRow row, List<PrefixPart> prompt) {
        int known = row.prompts.heldParts(prompt);
        return known == 0 && prompt.size() > 1 && warm(nowMillis, row) ? 1 : known;
    }

    /** Tokens to read at an endpoint, the common part left out where it is taken to be held. */
    long uncachedTokens(long nowMillis, EndpointRow row, List<PrefixPart> prompt) {
        boolean common = prompt.size() > 1 && row.prompts.heldParts(prompt) == 0 && warm(nowMillis, row);
        return row.prompts.uncachedTokens(common ? prompt.subList(1, prompt.size()) : prompt);
    }

    /** Whether an endpoint is taken to hold what is common, since it ran long before this process. */
    boolean warm(long nowMillis, EndpointRow row) {
        if (trustedUntilMillis == Long.MAX_VALUE) {
            trustedUntilMillis = nowMillis + TRUST_MILLIS;
        }
        long born = row.registration.bornMillis();
        return nowMillis < trustedUntilMillis && born > 0 && born < startedMillis - WARM_MILLIS;
    }

    private static Optional<Home> home(List<EndpointRow> among, PrefixPart part) {
        List<String> ids = among.stream().map(row -> row.registration.id()).toList();
        return Rendezvous.winner(part.id(), ids).map(id -> new Home(id, part.tokens()));
    }
}
