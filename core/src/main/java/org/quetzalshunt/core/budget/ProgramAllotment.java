package org.quetzalshunt.core.budget;

import java.util.OptionalLong;

/**
 * The tokens of one program as one VM sees them. A VM raises its allotment, a record in the shared map, and hands out no
 * more than that; the sum of all VMs' allotments is kept within the budget and the most of one turn by appends that expect
 * the shard as it was read. What a VM held that died counts as spent.
 *
 * <p>Load pattern: programs whose turns arrive through one VM after another. What a VM has not handed out yet, it gives to
 * the VM of the next turn, over a link and without the shared map. An allotment therefore covers several turns while its
 * budget is ample. Where tokens are not given on, it covers the next turn only: each VM on the way would keep tokens that
 * nobody hands out, and a program well within its budget would be told that it is spent.
 *
 * <p>An allotment is never lowered. A lower record whose answer is lost may land after a later, higher one, and the other
 * VMs would then count on tokens that this one hands out. A record counts until it expires, and so do the tokens that come
 * from it, wherever they are.
 */
public final class ProgramAllotment {
    /** Tokens that went from one VM to another, and the time of day until which they count, in Unix milliseconds. */
    public record Transfer(long tokens, long untilMillis) {
        /** No tokens. */
        public static final Transfer NONE = new Transfer(0, 0);
    }

    /** Turns that must still fit besides, for a turn to be sent ahead of its grant. */
    private static final int AMPLE_TURNS = 2;

    /** Room for this many turns besides makes a spare harmless. */
    private static final int SPARE_ROOM_TURNS = 8;

    /** One part in three of what is left of the budget: two VMs may die with it before the program is short of tokens. */
    private static final int CARRIED_PARTS = 3;

    private final boolean carried;
    private long allotted;
    private long free;
    private long freeUntilMillis;
    private boolean received;
    private long others;
    private boolean known;

    private ProgramAllotment(boolean carried) {
        this.carried = carried;
    }

    /**
     * A program of which nothing is known.
     *
     * @param carried whether VMs give tokens on to the VM of the next turn
     */
    public static ProgramAllotment unknown(boolean carried) {
        return new ProgramAllotment(carried);
    }

    /**
     * The shared map was read: what other VMs hold, and what this one holds.
     *
     * @param untilMillis when the own record expires, as a time of day
     */
    public void read(long othersAllotted, long ownAllotted, long untilMillis) {
        others = othersAllotted;
        if (ownAllotted > allotted) {
            // An append whose answer was lost.
            granted(ownAllotted, untilMillis);
        }
        allotted = ownAllotted;
        known = true;
    }

    /** Another VM read how much all VMs together were allotted; records only grow while the program lives. */
    public void allottedAtLeast(long total) {
        others = Math.max(others, total - allotted);
        known = true;
    }

    /** Whether it is known what other VMs hold. */
    public boolean known() {
        return known;
    }

    /**
     * Whether a turn may start on what this VM has.
     *
     * @param untilMillis time of day until which the tokens must count
     */
    public boolean covers(long maximumTokens, long untilMillis) {
        return free >= maximumTokens && freeUntilMillis >= untilMillis;
    }

    /** Whether, by what was last read, more turns fit than this one, so that its grant is almost sure to come. */
    public boolean hasHeadroom(long budget, long maximumTokens) {
        return known && room(budget) >= (1 + AMPLE_TURNS) * maximumTokens;
    }

    private long handedOut() {
        return allotted - free;
    }

    private long room(long budget) {
        return budget - others - handedOut();
    }

    /** A turn starts; it may hand out that many tokens. */
    public void started(long maximumTokens) {
        free -= maximumTokens;
    }

    /** A turn ended, having handed out fewer tokens than it might have. */
    public void ended(long maximumTokens, long handedOut) {
        free += Math.max(0, maximumTokens - handedOut);
    }

    /** Gives up received tokens that will not count for long enough; those of the own record count on once it is renewed. */
    public void expire(long untilMillis) {
        if (received && freeUntilMillis < untilMillis) {
            free = 0;
            received = false;
        }
    }

    /**
     * The allotment to ask for, so that one more turn may start; empty when the budget is spent.
     *
     * @param budget tokens that all turns of the program may generate
     * @param maximumTokens tokens that the turn may generate
     */
    public OptionalLong wanted(long budget, long maximumTokens) {
        if (room(budget) < 0) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.max(allotted, handedOut() + turns(budget, maximumTokens) * maximumTokens));
    }

    private long turns(long budget, long maximumTokens) {
        if (carried) {
            return Math.max(1, room(budget) / (CARRIED_PARTS * maximumTokens));
        }
        boolean ample = room(budget) >= (1 + SPARE_ROOM_TURNS) * maximumTokens;
        return ample && handedOut() > 0 ? 2 : 1;
    }

    /** The wanted allotment is kept in the shared map until a time of day. */
    public void granted(long tokens, long untilMillis) {
        received = received && free > 0;
        freeUntilMillis = received ? Math.min(freeUntilMillis, untilMillis) : untilMillis;
        free += tokens - allotted;
        allotted = tokens;
    }

    /** Gives all that no turn holds to another VM; empty when there is nothing to give. */
    public Transfer giveOn() {
        Transfer transfer = new Transfer(Math.max(0, free), freeUntilMillis);
        free -= transfer.tokens();
        return transfer;
    }

    /** Another VM gave tokens. */
    public void received(Transfer transfer) {
        if (transfer.tokens() <= 0) {
            return;
        }
        freeUntilMillis = free > 0 ? Math.min(freeUntilMillis, transfer.untilMillis()) : transfer.untilMillis();
        free += transfer.tokens();
        received = true;
    }

    /** Tokens that this VM was allotted, for logs. */
    public long allotted() {
        return allotted;
    }

    /** Tokens that other VMs were allotted, for logs. */
    public long others() {
        return others;
    }
}
