package org.quetzalshunt.core.turn;

import java.util.List;

/**
 * Keeps the ancestors of a turn stored for as long as the turn itself. A record has a fixed lifetime and is removed by
 * the VM that stored it, so a turn whose ancestors would expire first stores copies of all of them with its own record,
 * in one atomic append and with the same lifetime. Later turns of the chain refer to these copies until they would
 * expire, too.
 *
 * <p>Copies rather than renewals in place: a removal concerns only records of the VM that removes them, so it cannot
 * race with a renewal by another VM, whatever the order in which the store applies them.
 *
 * <p>Expected load: many programs of a few seconds, which never need a copy, and conversations that last longer than
 * the retention period, whose turns are copied about once in {@link #COPY_INTERVAL_MILLIS}.
 */
public final class ChainRetention {
    /** Added to the lifetime of every record, so that a conversation is copied at this interval and not by each turn. */
    public static final long COPY_INTERVAL_MILLIS = 60_000;

    private ChainRetention() {}

    /** Expiry of the record of a turn that must be kept until the given time, both in Unix milliseconds. */
    public static long expiresMillis(long neededUntilMillis) {
        return neededUntilMillis + COPY_INTERVAL_MILLIS;
    }

    /**
     * Number of ancestors of a new turn that are stored again: either all of them, if the new turn has to store copies,
     * or those for which the turn that it continues refers to copies.
     *
     * @param chain ancestors of the new turn, oldest first
     * @param neededUntilMillis time until which the new turn and its ancestors must be kept, in Unix milliseconds
     */
    public static int copiedAncestors(List<TurnRecord> chain, long neededUntilMillis) {
        if (chain.isEmpty()) {
            return 0;
        }
        int copied = chain.get(chain.size() - 1).copiedAncestors();
        // The copies expire together with the record of the turn that stored them, which follows them in the chain.
        boolean lastLongEnough =
                chain.stream().skip(copied).allMatch(turn -> turn.expiresMillis() >= neededUntilMillis);
        return lastLongEnough ? copied : chain.size();
    }
}
