package org.quetzalshunt.core.limit;

import static org.quetzalshunt.core.limit.LimitMessage.ALL_PARTS;
import static org.quetzalshunt.core.limit.LimitMessage.MICRO_TOKENS;

/**
 * How much of its part an entry gives to one that lacks tokens.
 *
 * <p>Answers traffic that is uneven over the entries, or that moves between them: without it an account whose callers
 * all reach one entry would get one entry's share of its rate. Parts follow demand, tokens follow need.
 */
final class Sharing {
    /** Tokens for this much of its own traffic stay with the giver: the time in which it could fetch them back. */
    private static final double RESERVE_SECONDS = 0.05;

    /** An entry whose demand is below this part of the asker's has none to speak of, and gives everything. */
    private static final double IDLE_FRACTION = 0.01;

    /** Smaller moves of rate are left undone: two entries of like demand would pass the difference to and fro. */
    private static final int SMALLEST_MOVE_DIVISOR = 16;

    /** Tokens below a twentieth are not worth a message. */
    private static final long FEWEST_MICRO_TOKENS = MICRO_TOKENS / 20;

    private Sharing() {}

    /**
     * What to give.
     *
     * @param parts parts in millionths; 0 for nothing
     * @param microTokens tokens that go with them
     */
    record Gift(long parts, long microTokens) {
        static final Gift NOTHING = new Gift(0, 0);
    }

    static Gift decide(long nowMillis, Bucket giver, LimitMessage.Request request) {
        if (giver.parts() == 0) {
            return Gift.NOTHING;
        }
        double ownDemand = giver.demand.perSecond(nowMillis);
        double askersDemand = request.demandMilliTokens() / 1_000.0;
        boolean idle = giver.waiting.isEmpty() && ownDemand <= askersDemand * IDLE_FRACTION;
        if (idle) {
            return new Gift(giver.parts(), giver.level());
        }
        long partsByDemand = partsByDemand(giver.parts(), request.heldParts(), ownDemand, askersDemand);
        long tokens = tokens(giver, request, ownDemand, partsByDemand);
        long parts = Math.min(giver.parts(), Math.max(partsByDemand, giver.partsFor(tokens)));
        if (partsByDemand == 0 && tokens < FEWEST_MICRO_TOKENS) {
            return Gift.NOTHING;
        }
        return new Gift(parts, Math.min(tokens, giver.capacityOf(parts)));
    }

    private static long partsByDemand(long held, long askersHeld, double ownDemand, double askersDemand) {
        long together = Math.min(ALL_PARTS, held + askersHeld);
        double askersShare = askersDemand / (askersDemand + ownDemand);
        long missing = (long) (together * askersShare) - askersHeld;
        return missing < together / SMALLEST_MOVE_DIVISOR ? 0 : Math.min(held, missing);
    }

    private static long tokens(Bucket giver, LimitMessage.Request request, double ownDemand, long partsByDemand) {
        long reserve = giver.waiting.size() * MICRO_TOKENS + (long) (ownDemand * RESERVE_SECONDS * MICRO_TOKENS);
        long spare = Math.max(0, giver.level() - reserve);
        long withTheParts = giver.level() * partsByDemand / giver.parts();
        return Math.max(withTheParts, Math.min(request.wantedMicroTokens(), spare));
    }
}
