package org.quetzalshunt.core.quota;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.quetzalshunt.core.membership.Rendezvous;

/**
 * Which VMs own an account's quota: by rendezvous hashing over the members of the fleet, so that all VMs with the same
 * members agree and a VM that comes or goes moves only the accounts that it wins or loses.
 *
 * <p>Load pattern: programs, which send a handful of calls at once through one VM and then none. Split over all VMs by
 * demand, one VM's share holds no such handful, and calls are rejected though the account is within its quota. With two
 * owners nearly the whole burst is behind every VM, and the loss of one leaves a part of the rate until its lease has run
 * out.
 */
final class ShareAllocation {
    /** The whole of an account's rate and burst. */
    static final int ALL_PARTS = 10_000;

    /** For the primary owner, which is asked first, and the secondary. */
    private static final int[] OWNER_PARTS = {6_670, 3_330};

    /** The owners, and one that was an owner before a VM joined and may hold its share still. */
    private static final int CANDIDATES = 3;

    private final String self;
    private final Map<String, List<String>> candidatesByAccount = new HashMap<>();
    private List<String> members;

    private ShareAllocation(String self) {
        this.self = self;
        this.members = List.of(self);
    }

    /** Allocates everything to this VM until it knows of peers. */
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

    /** The VMs that may hold shares of the account, those that own most of it first. */
    List<String> candidates(String account) {
        return candidatesByAccount.computeIfAbsent(account, this::heaviest);
    }

    private List<String> heaviest(String account) {
        Map<String, Long> weights = new HashMap<>();
        members.forEach(vm -> weights.put(vm, Rendezvous.weight(account, vm)));
        return members.stream()
                .sorted(Comparator.comparingLong((String vm) -> -weights.get(vm))
                        .thenComparing(Comparator.naturalOrder()))
                .limit(CANDIDATES)
                .toList();
    }

    /**
     * The parts of an account that this VM should hold. A share of less than one token could never be spent, so the
     * primary owner has all of a small burst.
     */
    int target(String account, double burst) {
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
