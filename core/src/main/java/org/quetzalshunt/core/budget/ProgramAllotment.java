package org.quetzalshunt.core.budget;

import java.util.OptionalLong;

/**
 * The tokens of one program as one VM sees them. A VM hands out no more than its allotment, which is a record in the
 * shared map; the sum of all VMs' allotments is kept within the budget and the most of one turn by appends that expect
 * the shard as it was read. What a VM held that died counts as spent.
 *
 * <p>Load pattern: programs whose turns come close together at one VM, and programs that never stop and start
 * sub-agents at several VMs at once. For the first, an allotment has a spare, so that most turns need no call to the
 * shared map; for the second, the spare shrinks with what is left, so that a VM does not keep from another what it will
 * not use.
 */
public final class ProgramAllotment {
    /** Turns that a spare covers at most: a guess between calls saved and tokens stranded when the line moves. */
    private static final int SPARE_TURNS = 3;

    /** Part of what is left that one VM may hold as a spare: a guess that lets four VMs hold one at once. */
    private static final int SPARE_DIVISOR = 4;

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
    public boolean covers(long mostTokens) {
        return known && allotted - used >= mostTokens;
    }

    /** A turn starts; it may hand out that many tokens. */
    public void started(long mostTokens) {
        used += mostTokens;
    }

    /** A turn ended, having handed out fewer tokens than it might have. */
    public void ended(long mostTokens, long handedOut) {
        used -= Math.max(0, mostTokens - handedOut);
    }

    /**
     * The allotment to ask for, so that one more turn may start; empty when the budget is spent.
     *
     * @param budget tokens that all turns of the program may generate
     * @param mostTokens tokens that the turn may generate
     */
    public OptionalLong wanted(long budget, long mostTokens) {
        if (others + used > budget) {
            return OptionalLong.empty();
        }
        long room = Math.max(0, budget - others - used - mostTokens);
        long spare = Math.min(room / SPARE_DIVISOR, SPARE_TURNS * mostTokens);
        return OptionalLong.of(Math.max(allotted, used + mostTokens + spare));
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
