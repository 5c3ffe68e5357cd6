package org.quetzalshunt.core.budget;

import java.util.OptionalLong;

/**
 * Tracks one VM's allotment of a program's token budget. The VM records its allotment in the shared map and grants
 * turns at most that many tokens. Allotments are raised by conditional appends, which keep the sum over all VMs within
 * the budget plus the maximum of one turn. The whole allotment of a VM that has failed counts as spent.
 *
 * <p>Load pattern: programs whose consecutive turns arrive at different VMs. A VM transfers its unused tokens to the VM
 * of the next turn over a link between the two, without access to the shared map, so an allotment covers several turns
 * while the budget is ample. If transfers are disabled, an allotment covers the next turn only: tokens left over at
 * each VM could not be used elsewhere, and a program well within its budget would be reported as exhausted.
 *
 * <p>An allotment is never lowered. An append of a lower value whose answer is lost could be applied after a later,
 * higher one, and the other VMs would then allot tokens that this VM still grants. Tokens are valid until the record
 * that they come from expires, also after a transfer to another VM.
 */
public final class ProgramAllotment {
    /** Tokens transferred from one VM to another, and the time at which they expire, in Unix milliseconds. */
    public record Transfer(long tokens, long expiresMillis) {
        /** No tokens. */
        public static final Transfer NONE = new Transfer(0, 0);
    }

    /**
     * Number of further turns that the budget must cover for a turn to be sent to an endpoint before its grant arrives.
     */
    private static final int HEADROOM_TURNS = 2;

    /** Number of further turns that the budget must cover for the tokens of a second turn to be allotted in advance. */
    private static final int ADVANCE_HEADROOM_TURNS = 8;

    /**
     * With transfers, one raise requests a third of the remaining budget: two VMs may fail with such an allotment
     * before the program runs short of tokens.
     */
    private static final int REMAINING_BUDGET_DIVISOR = 3;

    private final boolean transferable;
    private long allotted;
    private long available;
    private long availableUntilMillis;
    private boolean includesReceived;
    private long others;
    private boolean known;

    private ProgramAllotment(boolean transferable) {
        this.transferable = transferable;
    }

    /**
     * Creates the allotment of a program whose records have not been read yet.
     *
     * @param transferable whether VMs transfer unused tokens to the VM of the next turn
     */
    public static ProgramAllotment unknown(boolean transferable) {
        return new ProgramAllotment(transferable);
    }

    /**
     * Applies the allotments read from the shared map.
     *
     * @param expiresMillis when this VM's own record expires, in Unix milliseconds
     */
    public void read(long othersAllotted, long ownAllotted, long expiresMillis) {
        others = othersAllotted;
        if (ownAllotted > allotted) {
            // An earlier append was applied, but its answer was lost.
            granted(ownAllotted, expiresMillis);
        }
        allotted = ownAllotted;
        known = true;
    }

    /**
     * Applies the total allotment of all VMs as reported by another VM. Records only grow while the program exists, so
     * the total is a lower bound.
     */
    public void allottedAtLeast(long total) {
        others = Math.max(others, total - allotted);
        known = true;
    }

    /** Whether the allotments of the other VMs are known. */
    public boolean known() {
        return known;
    }

    /**
     * Whether this VM has enough tokens for a turn without a raise of its allotment.
     *
     * @param untilMillis time until which the tokens must stay valid, in Unix milliseconds
     */
    public boolean covers(long maximumTokens, long untilMillis) {
        return available >= maximumTokens && availableUntilMillis >= untilMillis;
    }

    /**
     * Whether, by the records last read, the budget covers this turn and further ones, so that a grant is almost
     * certain.
     */
    public boolean hasHeadroom(long budget, long maximumTokens) {
        return known && remaining(budget) >= (1 + HEADROOM_TURNS) * maximumTokens;
    }

    /**
     * Tokens granted to turns or transferred to other VMs, less the tokens received from other VMs; negative if more
     * were received.
     */
    private long netUsed() {
        return allotted - available;
    }

    private long remaining(long budget) {
        return budget - others - netUsed();
    }

    /** Reserves the maximum tokens of a turn that starts. */
    public void reserve(long maximumTokens) {
        available -= maximumTokens;
    }

    /** Releases the tokens that a turn had reserved and did not generate. */
    public void release(long maximumTokens, long generatedTokens) {
        available += Math.max(0, maximumTokens - generatedTokens);
    }

    /**
     * Discards received tokens that expire before a given time. Tokens of this VM's own record are kept, since a
     * renewal of the record extends them.
     */
    public void discardReceivedBefore(long untilMillis) {
        if (includesReceived && availableUntilMillis < untilMillis) {
            available = 0;
            includesReceived = false;
        }
    }

    /**
     * Computes the allotment to request so that one more turn can start; empty if the budget is exhausted.
     *
     * @param budget tokens that all turns of the program together may generate
     * @param maximumTokens tokens that the turn may generate
     */
    public OptionalLong nextAllotment(long budget, long maximumTokens) {
        if (remaining(budget) < 0) {
            return OptionalLong.empty();
        }
        return OptionalLong.of(Math.max(allotted, netUsed() + turnsToCover(budget, maximumTokens) * maximumTokens));
    }

    private long turnsToCover(long budget, long maximumTokens) {
        if (maximumTokens == 0) {
            return 1;
        }
        if (transferable) {
            return Math.max(1, remaining(budget) / (REMAINING_BUDGET_DIVISOR * maximumTokens));
        }
        boolean ample = remaining(budget) >= (1 + ADVANCE_HEADROOM_TURNS) * maximumTokens;
        return ample && netUsed() > 0 ? 2 : 1;
    }

    /**
     * Applies a requested allotment that was stored in the shared map, valid until the given Unix time in milliseconds.
     */
    public void granted(long tokens, long untilMillis) {
        includesReceived = includesReceived && available > 0;
        availableUntilMillis = includesReceived ? Math.min(availableUntilMillis, untilMillis) : untilMillis;
        available += tokens - allotted;
        allotted = tokens;
    }

    /** Removes all unreserved tokens for transfer to another VM; a transfer of no tokens if there are none. */
    public Transfer takeUnspent() {
        Transfer transfer = new Transfer(Math.max(0, available), availableUntilMillis);
        available -= transfer.tokens();
        return transfer;
    }

    /** Adds tokens transferred from another VM. */
    public void addTransferred(Transfer transfer) {
        if (transfer.tokens() <= 0) {
            return;
        }
        availableUntilMillis =
                available > 0 ? Math.min(availableUntilMillis, transfer.expiresMillis()) : transfer.expiresMillis();
        available += transfer.tokens();
        includesReceived = true;
    }

    /** Tokens allotted to this VM. */
    public long allotted() {
        return allotted;
    }

    /** Tokens allotted to the other VMs. */
    public long others() {
        return others;
    }
}
