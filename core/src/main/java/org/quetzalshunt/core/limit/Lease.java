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
 * How long this VM may still use what it holds, by its own clock.
 *
 * <p>Guards against a VM that was paused or cut off while a new generation granted its part to others; it would show as
 * a window over its bound after the pause. Every proof is dated by this VM's own clock at the time when it asked, so that
 * the true age of the answer is never underestimated. A proof is a read of the configuration stream to its end; or, in an
 * outage of the log, words of a majority of the generation's members, and of a majority of the entries that are listed,
 * that they know no newer generation. Whoever would use a reclaimed part first waits, from words of a majority that has
 * read the new generation, until every older proof has run out.
 */
final class Lease {
    /** Words are asked for once the log has been silent for this part of the lease. */
    private static final int SILENCE_DIVISOR = 3;

    /** Words are asked for this often in a lease, so that three may be lost. */
    private static final int REQUESTS_A_LEASE = 4;

    private final VmId self;
    private final LimitSettings settings;
    private final Map<VmId, Long> words = new HashMap<>();
    private long logProofMillis = Long.MIN_VALUE / 2;
    private long askedMillis = Long.MIN_VALUE / 2;
    private long majorityProofMillis = Long.MIN_VALUE / 2;
    private Set<VmId> members = Set.of();
    private Set<VmId> listed = Set.of();

    Lease(VmId self, LimitSettings settings) {
        this.self = self;
        this.settings = settings;
    }

    /** Starts again for a new generation: words about the former one say nothing about this one. */
    void onGeneration(Set<VmId> newMembers) {
        members = newMembers;
        words.clear();
        majorityProofMillis = Long.MIN_VALUE / 2;
        askedMillis = Long.MIN_VALUE / 2;
    }

    void onListed(Set<VmId> newListed) {
        listed = newListed;
    }

    void onLogRead(long sentMillis) {
        logProofMillis = Math.max(logProofMillis, sentMillis);
    }

    void onWord(VmId from, long sentMillis) {
        words.merge(from, sentMillis, Math::max);
        majorityProofMillis = Math.min(majority(members), majority(listed));
    }

    boolean holds(long nowMillis) {
        return nowMillis - provenMillis(nowMillis) < settings.leaseMillis();
    }

    private long provenMillis(long nowMillis) {
        boolean alone = members.size() == 1 && listed.size() <= 1;
        return alone ? nowMillis : Math.max(logProofMillis, majorityProofMillis);
    }

    /** Asks for words when the log gives no proof. */
    void tick(long nowMillis, long generation, BiConsumer<VmId, LimitMessage> sender) {
        boolean logSpeaks = nowMillis - logProofMillis < settings.leaseMillis() / SILENCE_DIVISOR;
        if (logSpeaks || nowMillis - askedMillis < settings.leaseMillis() / REQUESTS_A_LEASE) {
            return;
        }
        askedMillis = nowMillis;
        Set<VmId> targets = new HashSet<>(members);
        targets.addAll(listed);
        targets.remove(self);
        targets.forEach(vm -> sender.accept(vm, new LimitMessage.LeaseRequest(generation, nowMillis)));
    }

    /** Time of the oldest word among the newest ones that, with this VM itself, make a majority. */
    private long majority(Collection<VmId> voters) {
        List<Long> proofs = new ArrayList<>();
        for (VmId voter : voters) {
            proofs.add(voter.equals(self) ? Long.MAX_VALUE : words.getOrDefault(voter, Long.MIN_VALUE / 2));
        }
        if (proofs.isEmpty()) {
            return Long.MAX_VALUE;
        }
        proofs.sort(Collections.reverseOrder());
        return proofs.get(proofs.size() / 2);
    }
}
