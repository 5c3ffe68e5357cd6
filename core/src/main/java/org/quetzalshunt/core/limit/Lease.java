package org.quetzalshunt.core.limit;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiConsumer;
import org.quetzalshunt.core.vm.VmId;

/**
 * Decides how long this VM may still use its parts, by its own clock.
 *
 * <p>Guards against a VM that was paused or disconnected while a new generation granted its parts to others. After the
 * pause, it would admit more than rate and burst together with them. The lease is renewed by proofs that this VM is
 * still a member. Every proof is dated by this VM's own clock at the time of the request, so that the age of the answer
 * is never underestimated. A proof is a read of the configuration stream to its end. In an outage of the log, it is the
 * confirmation, by a majority of the generation's members and by a majority of the listed entries, that they have
 * read no newer generation. A home that grants reclaimed parts first waits until confirmations can no longer come from
 * a majority, because a majority has read the new generation, and then until every older proof has expired.
 * A VM that is the only member and the only listed entry needs no proof.
 */
final class Lease {
    /** Confirmations are requested when the last read of the log is older than this fraction of the lease. */
    private static final int RECENT_READ_DIVISOR = 3;

    /** Confirmations are requested this often during a lease, so that three of the requests may be lost. */
    private static final int REQUESTS_PER_LEASE = 4;

    private final VmId self;
    private final LimitSettings settings;
    private final Map<VmId, Long> confirmations = new HashMap<>();
    private long logProofMillis = Long.MIN_VALUE / 2;
    private long requestedMillis = Long.MIN_VALUE / 2;
    private long majorityProofMillis = Long.MIN_VALUE / 2;
    private Set<VmId> members = Set.of();
    private Set<VmId> listedEntries = Set.of();

    Lease(VmId self, LimitSettings settings) {
        this.self = self;
        this.settings = settings;
    }

    /** Discards the confirmations of the former generation, which prove nothing about a new one. */
    void onGeneration(Set<VmId> newMembers) {
        members = newMembers;
        confirmations.clear();
        majorityProofMillis = Long.MIN_VALUE / 2;
        requestedMillis = Long.MIN_VALUE / 2;
    }

    void onListed(Set<VmId> newListedEntries) {
        listedEntries = newListedEntries;
    }

    void onLogRead(long sentMillis) {
        logProofMillis = Math.max(logProofMillis, sentMillis);
    }

    void onConfirmation(VmId from, long sentMillis) {
        confirmations.merge(from, sentMillis, Math::max);
        majorityProofMillis = Math.min(majorityConfirmationMillis(members), majorityConfirmationMillis(listedEntries));
    }

    boolean isValid(long nowMillis) {
        return nowMillis - provenMillis(nowMillis) < settings.leaseMillis();
    }

    private long provenMillis(long nowMillis) {
        boolean alone = members.size() == 1 && listedEntries.size() <= 1;
        return alone ? nowMillis : Math.max(logProofMillis, majorityProofMillis);
    }

    /** Requests confirmations if the log gives no recent proof. */
    void tick(long nowMillis, long generation, BiConsumer<VmId, LimitMessage> sender) {
        boolean logReadIsRecent = nowMillis - logProofMillis < settings.leaseMillis() / RECENT_READ_DIVISOR;
        if (logReadIsRecent || nowMillis - requestedMillis < settings.leaseMillis() / REQUESTS_PER_LEASE) {
            return;
        }
        requestedMillis = nowMillis;
        Set<VmId> targets = new HashSet<>(members);
        targets.addAll(listedEntries);
        targets.remove(self);
        targets.forEach(vm -> sender.accept(vm, new LimitMessage.LeaseRequest(generation, nowMillis)));
    }

    /** Time of the oldest confirmation among the newest ones that form a majority together with this VM itself. */
    private long majorityConfirmationMillis(Collection<VmId> voters) {
        List<Long> proofs = new ArrayList<>();
        for (VmId voter : voters) {
            proofs.add(voter.equals(self) ? Long.MAX_VALUE : confirmations.getOrDefault(voter, Long.MIN_VALUE / 2));
        }
        if (proofs.isEmpty()) {
            return Long.MAX_VALUE;
        }
        proofs.sort(Collections.reverseOrder());
        return proofs.get(proofs.size() / 2);
    }
}
