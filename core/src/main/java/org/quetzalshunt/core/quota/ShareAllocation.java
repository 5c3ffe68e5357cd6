package org.quetzalshunt.core.quota;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.quetzalshunt.core.membership.Rendezvous;

/**
 * Decides which VMs own an account's quota, by rendezvous hashing over the members of the fleet. All VMs with the same
 * view of the members agree, and a VM that joins or leaves moves only the accounts that it gains or loses.
 *
 * <p>Load pattern: a program sends a burst of calls through one VM and is then idle. If the quota were split over all
 * VMs by demand, no VM's share would cover such a burst, and calls would be rejected although the account is within its
 * quota. With two owners, every VM can draw on nearly the whole burst, and if one owner fails, the other still serves
 * its part of the rate until the failed owner's lease has expired.
 */
final class ShareAllocation {
    /** Number of parts that make up the whole of an account's rate and burst. */
    static final int ALL_PARTS = 10_000;

    /** Parts of the primary owner, which is asked first, and of the secondary owner. */
    private static final int[] OWNER_PARTS = {6_670, 3_330};

    /** The two owners, and one VM that was an owner before another VM joined and may still hold its share. */
    private static final int CANDIDATE_COUNT = 3;

    private final String self;
    private final Map<String, List<String>> candidatesByAccount = new HashMap<>();
    private List<String> members;

    private ShareAllocation(String self) {
        this.self = self;
        this.members = List.of(self);
    }

    /** Creates an allocation in which this VM is the only member. */
    static ShareAllocation create(String self) {
        return new ShareAllocation(self);
    }

    /** Sets the members of the fleet, this VM included. */
    void setMembers(List<String> newMembers) {
        if (!newMembers.equals(members)) {
            members = List.copyOf(newMembers);
            candidatesByAccount.clear();
        }
    }

    /** The VMs that may hold shares of the account, the primary owner first. */
    List<String> candidates(String account) {
        return candidatesByAccount.computeIfAbsent(account, this::rankCandidates);
    }

    private List<String> rankCandidates(String account) {
        Map<String, Long> weights = new HashMap<>();
        members.forEach(vm -> weights.put(vm, Rendezvous.weight(account, vm)));
        return members.stream()
                .sorted(Comparator.comparingLong((String vm) -> -weights.get(vm))
                        .thenComparing(Comparator.naturalOrder()))
                .limit(CANDIDATE_COUNT)
                .toList();
    }

    /**
     * Number of parts of an account that this VM should hold. A share of less than one token could never be spent, so
     * the primary owner gets the whole of a small burst.
     */
    int targetParts(String account, double burst) {
        int rank = candidates(account).indexOf(self);
        if (rank < 0 || rank >= OWNER_PARTS.length) {
            return 0;
        }
        boolean undivided = members.size() == 1 || burst * OWNER_PARTS[1] < ALL_PARTS;
        if (undivided) {
            return rank == 0 ? ALL_PARTS : 0;
        }
        return OWNER_PARTS[rank];
    }
}
