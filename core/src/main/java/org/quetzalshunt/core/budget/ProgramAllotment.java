package org.quetzalshunt.core.budget;

import java.util.OptionalLong;

/**
 * The tokens of one program as one VM sees them. A VM hands out no more than its allotment, which is a record in the
 * shared map; the sum of all VMs' allotments is kept within the budget and the most of one turn by appends that expect
 * the shard as it was read. What a VM held that died counts as spent.
 *
 * <p>Load pattern: programs whose turns arrive through one VM after another. While a budget has room for many turns, a VM to
 * which the program came back takes one turn more than it needs, which saves a call to the shared map. Beyond that it takes
 * no spare: each VM on the way would keep tokens that nobody hands out, and a program well within its budget would be told
 * that it is spent.
 *
 * <p>An allotment is never lowered. A lower record whose answer is lost may land after a later, higher one, and the other
 * VMs would then count on tokens that this one hands out.
 */
public final class ProgramAllotment {
    /** Turns that must still fit besides, for a turn to be sent ahead of its grant. */
    private static final int AMPLE_TURNS = 2;

    /** Room for this many turns besides makes a spare harmless. */
    private static final int SPARE_ROOM_TURNS = 8;

    private long allotted;
    private long used;
    private long others;
    private boolean known;

    private ProgramAllotment() {}

    /** A program of which nothing is known. */
    public static ProgramAllotment unknown() {
        return new ProgramAllotment();
    }

    /** The shared map was read: what other VMs hold, and what this one holds. */
    public void read(long othersAllotted, long ownAllotted) {
        others = othersAllotted;
        allotted = ownAllotted;
        known = true;
    }

    /** Whether the shared map was read. */
    public boolean known() {
        return known;
    }

    /** Whether a turn may start on what this VM holds. */
    public boolean covers(long maximumTokens) {
        return known && allotted - used >= maximumTokens;
    }

    /** Whether, by what was last read, more turns fit than this one, so that its grant is almost sure to come. */
    public boolean hasHeadroom(long budget, long maximumTokens) {
        return known && budget - others - used >= (1 + AMPLE_TURNS) * maximumTokens;
    }

    /** A turn starts; it may hand out that many tokens. */
    public void started(long maximumTokens) {
        used += maximumTokens;
    }

    /** A turn ended, having handed out fewer tokens than it might have. */
    public void ended(long maximumTokens, long handedOut) {
        used -= Math.max(0, maximumTokens - handedOut);
    }

    /**
     * The allotment to ask for, so that one more turn may start; empty when the budget is spent.
     *
     * @param budget tokens that all turns of the program may generate
     * @param maximumTokens tokens that the turn may generate
     */
    public OptionalLong wanted(long budget, long maximumTokens) {
        if (others + used > budget) {
            return OptionalLong.empty();
        }
        boolean hasHeadroom = budget - others - used >= (1 + SPARE_ROOM_TURNS) * maximumTokens;
        long spare = hasHeadroom && used > 0 ? maximumTokens : 0;
        return OptionalLong.of(Math.max(allotted, used + maximumTokens + spare));
    }

    /** The wanted allotment is kept in the shared map. */
    public void granted(long tokens) {
        allotted = tokens;
    }

    /** Tokens that this VM holds, for logs. */
    public long allotted() {
        return allotted;
    }

    /** Tokens that other VMs hold, for logs. */
    public long others() {
        return others;
    }
}
