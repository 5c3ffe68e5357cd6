package org.quetzalshunt.core.limit;

import static org.quetzalshunt.core.limit.LimitMessage.ALL_PARTS;
import static org.quetzalshunt.core.limit.LimitMessage.MICRO_TOKENS;

import java.util.ArrayDeque;

/**
 * One account's row: the part of its token bucket that this entry holds, and the requests that wait for tokens.
 *
 * <p>Whole numbers throughout, rounded against the caller, so that rounding can never add up to a token too many.
 */
final class Bucket {
    /** Largest rate and burst that the arithmetic below carries without overflow. */
    private static final double LARGEST = 1_000_000;

    /** Longest accrual counted at once; at the largest rate the product stays below 2^63. */
    private static final long LONGEST_ACCRUAL_MILLIS = 1_000_000;

    /** A wait longer than this is refused as a caller cannot tell it from a hang. */
    private static final int MOST_WAITING = 4_096;

    final AccountKey key;
    final Demand demand = new Demand();
    final ArrayDeque<Waiter> waiting = new ArrayDeque<>();
    /** At the account's home: the other entries that ask for tokens. */
    final Holders holders = new Holders();

    int holdersCursor;
    long askedMillis = Long.MIN_VALUE / 2;
    long askIntervalMillis;
    /** Since when requests wait here without a break; the largest value when none waits. */
    long shortSinceMillis = Long.MAX_VALUE;

    long lastTakeMillis = Long.MIN_VALUE / 2;
    long version = Long.MIN_VALUE;
    long taken;
    long refused;
    /** Whether a part of this account ever came here or went from here in a transfer. */
    boolean moved;

    private final Headroom headroom = new Headroom();
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

    /** Puts another rate and burst in force; tokens beyond the new room are gone. */
    void limit(long nowMillis, double requestsPerSecond, double burst) {
        accrue(nowMillis);
        rateMicroTokens = (long) (Math.min(Math.max(requestsPerSecond, 0), LARGEST) * MICRO_TOKENS);
        burstMicroTokens = (long) (Math.min(Math.max(burst, 0), LARGEST) * MICRO_TOKENS);
        clamp();
    }

    /** Adds what the part earned since the last call. */
    void accrue(long nowMillis) {
        long elapsed = nowMillis - accruedMillis;
        if (elapsed <= 0) {
            return;
        }
        accruedMillis = nowMillis;
        earn(elapsed);
    }

    /** Adds what the part earns in a time. */
    void earn(long elapsed) {
        long rateHere = rateMicroTokens * parts / ALL_PARTS;
        long earned = rateHere * Math.min(elapsed, LONGEST_ACCRUAL_MILLIS) + remainder;
        level += earned / 1_000;
        remainder = earned % 1_000;
        clamp();
    }

    /** Fills the part to its room. */
    void fill() {
        level = capacity();
        clamp();
    }

    boolean hasToken() {
        return level >= MICRO_TOKENS;
    }

    /** Takes a token that is there, and returns the moment by which it can be given back. */
    long take() {
        level -= MICRO_TOKENS;
        taken++;
        return headroom.note(capacity() - level);
    }

    /** Puts back a token whose request never ran; drops it where it might count twice. */
    void giveBack(long takenAt) {
        taken--;
        if (headroom.use(takenAt, MICRO_TOKENS)) {
            level += MICRO_TOKENS;
        }
    }

    /** Adds a part with the tokens in it. */
    void add(long nowMillis, long addedParts, long microTokens) {
        accrue(nowMillis);
        parts = Math.min(ALL_PARTS, parts + addedParts);
        level += microTokens;
        clamp();
    }

    /** Gives up a part with tokens; the caller asks for no more than is here. */
    void remove(long nowMillis, long removedParts, long microTokens) {
        accrue(nowMillis);
        parts -= removedParts;
        level -= microTokens;
        remainder = 0;
        clamp();
    }

    /** Forgets everything held. */
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

    /** Parts needed to carry tokens, rounded up; all of them where the burst has no room. */
    long partsFor(long microTokens) {
        if (microTokens >= burstMicroTokens) {
            return ALL_PARTS;
        }
        return (microTokens * ALL_PARTS + burstMicroTokens - 1) / burstMicroTokens;
    }

    /** How many requests may wait: those beyond what the whole fleet could serve within the wait are refused at once. */
    int waitingLimit(long waitMillis) {
        long servable = (burstMicroTokens + rateMicroTokens / 1_000 * waitMillis) / MICRO_TOKENS + 1;
        return (int) Math.min(MOST_WAITING, servable);
    }

    /** Time in which the whole fleet earns one token, bounded to a minute. */
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
        headroom.note(capacity - level);
    }
}
