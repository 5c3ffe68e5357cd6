package org.quetzalshunt.core.limit;

import static org.quetzalshunt.core.limit.LimitMessage.ALL_PARTS;
import static org.quetzalshunt.core.limit.LimitMessage.MICRO_TOKENS;

/**
 * Decides which parts and tokens an entry transfers to another that is short of tokens.
 *
 * <p>Load pattern: traffic that is uneven over the entries, or that moves between them. If parts did not move, an
 * account whose callers all reach one entry would get only that entry's share of its rate. Parts are divided by demand,
 * tokens by need.
 *
 * <p>Load pattern: a burst that is small for the number of entries. Split among twelve entries, a burst of twenty
 * leaves each a bucket of less than two tokens, which fills up and wastes its rate while another is empty. The parts of
 * such an account are pooled at its home. The other entries fetch tokens when they need them and return the parts.
 */
final class TransferPolicy {
    /** The sender keeps tokens for this much of its own traffic, the time in which it could fetch them back. */
    private static final double RESERVE_SECONDS = 0.05;

    /** An entry whose demand is below this fraction of the requester's counts as idle and transfers everything. */
    private static final double IDLE_FRACTION = 0.01;

    /** Smaller moves of rate are not made: two entries of similar demand would send the difference back and forth. */
    private static final int MINIMUM_MOVE_DIVISOR = 16;

    /** Minimum transfer: less than a twentieth of a token does not justify a message. */
    private static final long MINIMUM_MICRO_TOKENS = MICRO_TOKENS / 20;

    /** Capacity for this many tokens absorbs random arrivals: four standard deviations of sixteen arrivals. */
    private static final long SMOOTHING_TOKENS = 16;

    /** Capacity for this much traffic is required in addition, so that it grows with the demand. */
    private static final double SMOOTHING_SECONDS = 0.1;

    /** Pooled parts stay for this long after a request, as another may follow. */
    private static final long POOLED_PARTS_RETENTION_MILLIS = 20;

    /**
     * An entry with a full bucket keeps a quarter more rate than its demand, so that it does not request it back at
     * once.
     */
    private static final double KEPT_RATE_FACTOR = 1.25;

    private TransferPolicy() {}

    /**
     * Amount to transfer.
     *
     * @param parts parts in millionths; 0 for no transfer
     * @param microTokens tokens that move with the parts
     */
    record TransferAmount(long parts, long microTokens) {
        static final TransferAmount NONE = new TransferAmount(0, 0);
    }

    /** Whether a bucket of this capacity is too small to serve a demand by itself. */
    static boolean isTooSmallToSplit(double capacityMicroTokens, double demandPerSecond) {
        return capacityMicroTokens < (SMOOTHING_TOKENS + demandPerSecond * SMOOTHING_SECONDS) * MICRO_TOKENS;
    }

    /** Returns the amount that a home transfers to a requester, by the demand that all entries have reported. */
    static TransferAmount fromHome(long nowMillis, Bucket sender, LimitMessage.Request request) {
        if (sender.parts() == 0) {
            return TransferAmount.NONE;
        }
        double requesterDemand = request.demandMilliTokens() / 1_000.0;
        double ownDemand = sender.demand.perSecond(nowMillis);
        double totalDemand =
                requesterDemand + ownDemand + sender.holderHints.demandPerSecond(nowMillis, request.requester());
        double share = totalDemand > 0 ? requesterDemand / totalDemand : 1;
        boolean isOnlyUser = share > 1 - IDLE_FRACTION && sender.waiting.isEmpty();
        if (isOnlyUser) {
            return new TransferAmount(sender.parts(), sender.level());
        }
        if (isTooSmallToSplit(sender.burstMicroTokens() * share, requesterDemand)) {
            long tokens = Math.min(request.wantedMicroTokens(), spareMicroTokens(sender, ownDemand));
            boolean isSufficient = tokens >= Math.min(MICRO_TOKENS, request.wantedMicroTokens());
            return isSufficient ? withRequiredParts(sender, 0, tokens) : TransferAmount.NONE;
        }
        return split(sender, request, ownDemand, share, ALL_PARTS);
    }

    /**
     * Returns the amount that an entry returns to the home: all of a bucket too small to split once it is idle or full,
     * otherwise the unused rate.
     */
    static TransferAmount surplus(long nowMillis, Bucket bucket) {
        double demand = bucket.demand.perSecond(nowMillis);
        boolean isIdle = nowMillis - bucket.lastTakeMillis >= POOLED_PARTS_RETENTION_MILLIS;
        if (isTooSmallToSplit((double) bucket.capacity(), demand)) {
            return isIdle || bucket.isFull() ? new TransferAmount(bucket.parts(), bucket.level()) : TransferAmount.NONE;
        }
        double keptParts = demand * KEPT_RATE_FACTOR * MICRO_TOKENS / bucket.rateMicroTokens() * ALL_PARTS;
        long unusedParts = bucket.parts() - (long) keptParts;
        if (!bucket.isFull() || unusedParts < bucket.parts() / MINIMUM_MOVE_DIVISOR) {
            return TransferAmount.NONE;
        }
        return new TransferAmount(unusedParts, bucket.capacityOf(unusedParts));
    }

    /** Returns the amount that an entry other than the home transfers to a requester. */
    static TransferAmount fromHolder(long nowMillis, Bucket sender, LimitMessage.Request request) {
        if (sender.parts() == 0) {
            return TransferAmount.NONE;
        }
        double requesterDemand = request.demandMilliTokens() / 1_000.0;
        double ownDemand = sender.demand.perSecond(nowMillis);
        boolean isIdle = sender.waiting.isEmpty() && ownDemand <= requesterDemand * IDLE_FRACTION;
        if (isIdle) {
            return new TransferAmount(sender.parts(), sender.level());
        }
        double share = requesterDemand / (requesterDemand + ownDemand);
        long combinedParts = Math.min(ALL_PARTS, sender.parts() + request.heldParts());
        return split(sender, request, ownDemand, share, combinedParts);
    }

    private static TransferAmount split(
            Bucket sender, LimitMessage.Request request, double ownDemand, double requesterShare, long combinedParts) {
        long missingParts = (long) (combinedParts * requesterShare) - request.heldParts();
        long parts = missingParts < combinedParts / MINIMUM_MOVE_DIVISOR ? 0 : Math.min(sender.parts(), missingParts);
        long proportionalTokens = sender.level() * parts / sender.parts();
        long tokens = Math.max(
                proportionalTokens, Math.min(request.wantedMicroTokens(), spareMicroTokens(sender, ownDemand)));
        boolean negligible = parts == 0 && tokens < MINIMUM_MICRO_TOKENS;
        return negligible ? TransferAmount.NONE : withRequiredParts(sender, parts, tokens);
    }

    private static long spareMicroTokens(Bucket sender, double ownDemand) {
        long reserve = sender.waiting.size() * MICRO_TOKENS + (long) (ownDemand * RESERVE_SECONDS * MICRO_TOKENS);
        return Math.max(0, sender.level() - reserve);
    }

    /** Adds the parts that are needed as capacity for the tokens. */
    private static TransferAmount withRequiredParts(Bucket sender, long minimumParts, long tokens) {
        long parts = Math.min(sender.parts(), Math.max(minimumParts, sender.partsFor(tokens)));
        return new TransferAmount(parts, Math.min(tokens, sender.capacityOf(parts)));
    }
}
