package org.quetzalshunt.core.limit;

import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import org.quetzalshunt.core.membership.Member;
import org.quetzalshunt.core.membership.Rendezvous;
import org.quetzalshunt.core.vm.VmId;

/**
 * Proposes a new generation when the live entries differ from the members. Any entry may do so, since the order of the
 * stream decides between concurrent proposals. The ranks only keep the number of appends small.
 */
final class GenerationProposer {
    /** Delay that lets VMs that start or die together fall into one generation. */
    private static final long SETTLING_MILLIS = 100;

    /**
     * Delay before a change that would need the long wait. If excluded VMs restart during the delay, the short wait may
     * become sufficient.
     */
    private static final long LONG_SETTLING_MILLIS = 2_000;

    /** Delay of each rank after the one before, longer than an append and its read take. */
    private static final long RANK_DELAY_MILLIS = 1_000;

    /**
     * Entries of this rank and above never propose. If the first three are dead at once, the fourth proposes after
     * three rank delays.
     */
    private static final int MAXIMUM_PROPOSERS = 4;

    /** A proposal that was lost, or was made in an outage of the log, is appended again after this time. */
    private static final long RETRY_MILLIS = 2_000;

    private final VmId self;
    private final LimitSettings settings;
    private Generation generation = Generation.none();
    private Set<VmId> liveEntries = Set.of();
    /** Cached, because a comparison of hundreds of members at every tick takes noticeable processor time. */
    private boolean membersDiffer;

    private long membersDifferSinceMillis = Long.MIN_VALUE;
    private long proposedMillis = Long.MIN_VALUE / 2;
    private long reclaimableMillis = Long.MIN_VALUE / 2;
    private long excludedStoppedMillis = Long.MIN_VALUE / 2;

    GenerationProposer(VmId self, LimitSettings settings) {
        this.self = self;
        this.settings = settings;
    }

    void onMembers(long nowMillis, List<Member> members) {
        Set<VmId> live = new HashSet<>();
        live.add(self);
        for (Member member : members) {
            if (member.alive() && !member.id().name().equals(self.name())) {
                live.add(member.id());
            }
        }
        if (!live.equals(liveEntries)) {
            liveEntries = live;
            membersDifferSinceMillis = nowMillis;
            membersDiffer = !live.equals(generation.members);
        }
    }

    void onGeneration(long nowMillis, Generation next) {
        generation = next;
        membersDiffer = !liveEntries.isEmpty() && !liveEntries.equals(next.members);
        membersDifferSinceMillis = nowMillis;
        proposedMillis = Long.MIN_VALUE / 2;
        if (next.excludesFormerMembers()) {
            reclaimableMillis = nowMillis + CarryOver.waitMillis(next.record, settings);
            excludedStoppedMillis = nowMillis + settings.expiryWaitMillis() + settings.listLagMillis();
        }
    }

    void tick(long nowMillis, Consumer<LimitGenerationProposal> appender) {
        if (!membersDiffer) {
            return;
        }
        LimitGenerationRecord record = record(nowMillis);
        if (nowMillis < dueMillis(record) || nowMillis - proposedMillis < RETRY_MILLIS) {
            return;
        }
        proposedMillis = nowMillis;
        appender.accept(new LimitGenerationProposal(record));
    }

    private long dueMillis(LimitGenerationRecord record) {
        int rank = record.members().indexOf(self);
        if (rank >= MAXIMUM_PROPOSERS) {
            return Long.MAX_VALUE;
        }
        long settling = record.longWait() ? LONG_SETTLING_MILLIS : SETTLING_MILLIS;
        long due = membersDifferSinceMillis + settling + rank * RANK_DELAY_MILLIS;
        // A new generation restarts the wait for reclaimed parts. VMs that join get no parts before these are
        // available, so a generation that only adds VMs is proposed after that wait. Otherwise, a fleet that restarts
        // one VM at a time would never grant the reclaimed parts.
        boolean onlyJoins = liveEntries.containsAll(generation.members);
        return onlyJoins ? Math.max(due, reclaimableMillis + SETTLING_MILLIS) : due;
    }

    private LimitGenerationRecord record(long nowMillis) {
        List<VmId> members = liveEntries.stream()
                .sorted(Comparator.comparingLong((VmId vm) -> Rendezvous.weight("coordinator", vm.name()))
                        .thenComparing(VmId::name))
                .toList();
        List<VmId> former = generation.record.members();
        boolean excludesFormerMembers = !liveEntries.containsAll(former);
        return new LimitGenerationRecord(
                generation.offset, self, members, former, excludesFormerMembers && needsLongWait(nowMillis, former));
    }

    /**
     * Whether excluded VMs could still get confirmations from a majority when every survivor has read the new
     * generation. A former member no longer confirms once it has read that generation, or once a newer incarnation runs
     * on its VM.
     */
    private boolean needsLongWait(long nowMillis, List<VmId> former) {
        long stoppedConfirming =
                former.stream().filter(this::hasStoppedConfirming).count();
        boolean previousChangeIsOver = nowMillis >= excludedStoppedMillis;
        if (previousChangeIsOver) {
            return stoppedConfirming <= former.size() / 2;
        }
        return stoppedConfirming < former.size() || generation.record.longWait();
    }

    private boolean hasStoppedConfirming(VmId vm) {
        return liveEntries.stream()
                .anyMatch(live -> live.name().equals(vm.name()) && live.incarnation() >= vm.incarnation());
    }
}
