package org.quetzalshunt.core.limit;

import static org.quetzalshunt.core.limit.LimitMessage.ALL_PARTS;
import static org.quetzalshunt.core.limit.LimitMessage.MICRO_TOKENS;

/**
 * How much of its part an entry gives to one that lacks tokens.
 *
 * <p>Answers traffic that is uneven over the entries, or that moves between them: without it an account whose callers
 * all reach one entry would get one entry's share of its rate. Parts follow demand, tokens follow need.
 *
 * <p>It also answers a burst that is small for the number of entries. Split among twelve entries, a burst of twenty
 * leaves each a bucket of less than two tokens, which runs full and wastes its rate while another runs dry. Such an
 * account is pooled: its home keeps the parts, and the others fetch tokens as they need them and bring the parts back.
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

    /** Room for this many tokens smooths arrivals that fall on the entries by chance: four deviations of sixteen. */
    private static final long SMOOTHING_TOKENS = 16;

    /** The same for larger traffic, as time. */
    private static final double SMOOTHING_SECONDS = 0.1;

    /** Pooled parts stay this long after a request, as the next one may follow. */
    private static final long POOLED_MILLIS = 20;

    /** A full bucket keeps a quarter more rate than its demand, so that it does not ask for it back at once. */
    private static final double KEPT_OVER_DEMAND = 1.25;

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

    /** Whether a bucket of this room is too small to serve a demand by itself. */
    static boolean isTooSmall(double roomMicroTokens, double demandPerSecond) {
        return roomMicroTokens < (SMOOTHING_TOKENS + demandPerSecond * SMOOTHING_SECONDS) * MICRO_TOKENS;
    }

    /** What a home gives, which knows the demand of the other entries. */
    static Gift ofHome(long nowMillis, Bucket giver, LimitMessage.Request request) {
        if (giver.parts() == 0) {
            return Gift.NOTHING;
        }
        double askersDemand = request.demandMilliTokens() / 1_000.0;
        double ownDemand = giver.demand.perSecond(nowMillis);
        double total = askersDemand + ownDemand + giver.holders.demandPerSecond(nowMillis, request.asker());
        double share = total > 0 ? askersDemand / total : 1;
        boolean alone = share > 1 - IDLE_FRACTION && giver.waiting.isEmpty();
        if (alone) {
            return new Gift(giver.parts(), giver.level());
        }
        if (isTooSmall(giver.burstMicroTokens() * share, askersDemand)) {
            long tokens = Math.min(request.wantedMicroTokens(), spare(giver, ownDemand));
            boolean serves = tokens >= Math.min(MICRO_TOKENS, request.wantedMicroTokens());
            return serves ? carrying(giver, 0, tokens) : Gift.NOTHING;
        }
        return split(giver, request, ownDemand, share, ALL_PARTS);
    }

    /** What an entry brings back to the home: everything of a pooled account, else the rate that runs over unused. */
    static Gift surplus(long nowMillis, Bucket bucket) {
        double demand = bucket.demand.perSecond(nowMillis);
        boolean quiet = nowMillis - bucket.lastTakeMillis >= POOLED_MILLIS;
        if (isTooSmall((double) bucket.capacity(), demand)) {
            return quiet || bucket.isFull() ? new Gift(bucket.parts(), bucket.level()) : Gift.NOTHING;
        }
        double kept = demand * KEPT_OVER_DEMAND * MICRO_TOKENS / bucket.rateMicroTokens() * ALL_PARTS;
        long unused = bucket.parts() - (long) kept;
        if (!bucket.isFull() || unused < bucket.parts() / SMALLEST_MOVE_DIVISOR) {
            return Gift.NOTHING;
        }
        return new Gift(unused, bucket.capacityOf(unused));
    }

    /** What any other entry gives. */
    static Gift ofHolder(long nowMillis, Bucket giver, LimitMessage.Request request) {
        if (giver.parts() == 0) {
            return Gift.NOTHING;
        }
        double askersDemand = request.demandMilliTokens() / 1_000.0;
        double ownDemand = giver.demand.perSecond(nowMillis);
        boolean idle = giver.waiting.isEmpty() && ownDemand <= askersDemand * IDLE_FRACTION;
        if (idle) {
            return new Gift(giver.parts(), giver.level());
        }
        double share = askersDemand / (askersDemand + ownDemand);
        long together = Math.min(ALL_PARTS, giver.parts() + request.heldParts());
        return split(giver, request, ownDemand, share, together);
    }

    private static Gift split(
            Bucket giver, LimitMessage.Request request, double ownDemand, double askersShare, long together) {
        long missing = (long) (together * askersShare) - request.heldParts();
        long parts = missing < together / SMALLEST_MOVE_DIVISOR ? 0 : Math.min(giver.parts(), missing);
        long withTheParts = giver.level() * parts / giver.parts();
        long tokens = Math.max(withTheParts, Math.min(request.wantedMicroTokens(), spare(giver, ownDemand)));
        boolean dust = parts == 0 && tokens < FEWEST_MICRO_TOKENS;
        return dust ? Gift.NOTHING : carrying(giver, parts, tokens);
    }

    private static long spare(Bucket giver, double ownDemand) {
        long reserve = giver.waiting.size() * MICRO_TOKENS + (long) (ownDemand * RESERVE_SECONDS * MICRO_TOKENS);
        return Math.max(0, giver.level() - reserve);
    }

    /** Adds the parts that the tokens need as room. */
    private static Gift carrying(Bucket giver, long atLeastParts, long tokens) {
        long parts = Math.min(giver.parts(), Math.max(atLeastParts, giver.partsFor(tokens)));
        return new Gift(parts, Math.min(tokens, giver.capacityOf(parts)));
    }
}
