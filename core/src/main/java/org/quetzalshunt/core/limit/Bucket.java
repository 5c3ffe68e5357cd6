package org.quetzalshunt.core.limit;

import static org.quetzalshunt.core.limit.LimitMessage.ALL_PARTS;
import static org.quetzalshunt.core.limit.LimitMessage.MICRO_TOKENS;

import java.util.ArrayDeque;

/**
 * One account's token bucket at this entry: the parts held, their tokens, and the requests that wait for tokens.
 *
 * <p>Uses integer arithmetic that rounds against the caller, so that rounding errors can never add up to an extra
 * token.
 */
final class Bucket {
    /** Largest rate and burst that the arithmetic below supports without overflow. */
    private static final double MAXIMUM_RATE_OR_BURST = 1_000_000;

    /** Longest time accrued in one step. At the largest rate the product stays below 2^63. */
    private static final long MAXIMUM_ACCRUAL_MILLIS = 1_000_000;

    /** Maximum number of waiting requests. A caller cannot distinguish the wait in a longer queue from a hang. */
    private static final int MAXIMUM_WAITING = 4_096;

    final AccountKey key;
    final Demand demand = new Demand();
    final ArrayDeque<Waiter> waiting = new ArrayDeque<>();
    /** At the account's home: the other entries that request tokens. */
    final HolderHints holderHints = new HolderHints();

    int nextHolderIndex;
    long requestedMillis = Long.MIN_VALUE / 2;
    long requestIntervalMillis;
    /** Since when requests have been waiting here without interruption; {@link Long#MAX_VALUE} if none waits. */
    long shortSinceMillis = Long.MAX_VALUE;

    long lastTakeMillis = Long.MIN_VALUE / 2;
    long version = Long.MIN_VALUE;
    long taken;
    long refused;
    /** Whether parts of this account were ever transferred to or from this entry. */
    boolean partsMoved;

    private final FreeRoomHistory freeRoom = new FreeRoomHistory();
    private long rateMicroTokens;
    private long burstMicroTokens;
    private long parts;
    private long level;
    private long remainder;
    private long accruedMillis;

    Bucket(AccountKey key, long nowMillis) {
        this.key = key;
        this.accruedMillis = nowMillis;
    }

    long parts() {
        return parts;
    }

    long level() {
        return level;
    }

    long rateMicroTokens() {
        return rateMicroTokens;
    }

    long burstMicroTokens() {
        return burstMicroTokens;
    }

    /** Sets the rate and burst. Tokens beyond the new capacity are discarded. */
    void setLimits(long nowMillis, double requestsPerSecond, double burst) {
        accrue(nowMillis);
        rateMicroTokens = (long) (Math.min(Math.max(requestsPerSecond, 0), MAXIMUM_RATE_OR_BURST) * MICRO_TOKENS);
        burstMicroTokens = (long) (Math.min(Math.max(burst, 0), MAXIMUM_RATE_OR_BURST) * MICRO_TOKENS);
        clamp();
    }

    /** Adds the tokens that the parts earned since the last call. */
    void accrue(long nowMillis) {
        long elapsedMillis = nowMillis - accruedMillis;
        if (elapsedMillis <= 0) {
            return;
        }
        accruedMillis = nowMillis;
        earnFor(elapsedMillis);
    }

    /** Adds the tokens that the parts earn in the given time. */
    void earnFor(long elapsedMillis) {
        long localRate = rateMicroTokens * parts / ALL_PARTS;
        long earned = localRate * Math.min(elapsedMillis, MAXIMUM_ACCRUAL_MILLIS) + remainder;
        level += earned / 1_000;
        remainder = earned % 1_000;
        clamp();
    }

    /** Fills the bucket to its capacity. */
    void fillToCapacity() {
        level = capacity();
        clamp();
    }

    boolean hasToken() {
        return level >= MICRO_TOKENS;
    }

    /** Takes an available token. Returns the sequence number by which it can be returned. */
    long take() {
        level -= MICRO_TOKENS;
        taken++;
        return freeRoom.recordRoom(capacity() - level);
    }

    /** Returns the token of a request that never ran, or discards it if it could count twice. */
    void giveBack(long takeSequence) {
        taken--;
        if (freeRoom.tryUse(takeSequence, MICRO_TOKENS)) {
            level += MICRO_TOKENS;
        }
    }

    /** Adds parts with their tokens. */
    void addParts(long nowMillis, long addedParts, long microTokens) {
        accrue(nowMillis);
        parts = Math.min(ALL_PARTS, parts + addedParts);
        level += microTokens;
        clamp();
    }

    /** Removes parts with their tokens. The caller must not ask for more than the bucket holds. */
    void removeParts(long nowMillis, long removedParts, long microTokens) {
        accrue(nowMillis);
        parts -= removedParts;
        level -= microTokens;
        remainder = 0;
        clamp();
    }

    /** Drops all parts and tokens. */
    void clear(long nowMillis) {
        accrue(nowMillis);
        parts = 0;
        level = 0;
        remainder = 0;
        clamp();
    }

    boolean isFull() {
        return level >= capacity();
    }

    long capacity() {
        return capacityOf(parts);
    }

    long capacityOf(long someParts) {
        return burstMicroTokens * someParts / ALL_PARTS;
    }

    /** Parts needed as capacity for the tokens, rounded up; all parts if the tokens exceed the burst. */
    long partsFor(long microTokens) {
        if (microTokens >= burstMicroTokens) {
            return ALL_PARTS;
        }
        return (microTokens * ALL_PARTS + burstMicroTokens - 1) / burstMicroTokens;
    }

    /**
     * Returns the maximum number of waiting requests. Requests beyond the number that the whole fleet can serve within
     * the wait are refused at once.
     */
    int waitingLimit(long waitMillis) {
        long servable = (burstMicroTokens + rateMicroTokens / 1_000 * waitMillis) / MICRO_TOKENS + 1;
        return (int) Math.min(MAXIMUM_WAITING, servable);
    }

    /** Time in which the whole fleet earns one token, at most one minute. */
    long retryAfterMillis() {
        if (rateMicroTokens == 0) {
            return 60_000;
        }
        return Math.max(1, Math.min(60_000, MICRO_TOKENS * 1_000 / rateMicroTokens));
    }

    private void clamp() {
        long capacity = capacity();
        if (level >= capacity) {
            level = capacity;
            remainder = 0;
        }
        freeRoom.recordRoom(capacity - level);
    }
}
