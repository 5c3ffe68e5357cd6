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
 * Proposes a new generation when the live entries differ from the members. Any entry may, as the stream's order decides;
 * the ranks below only keep the number of appends small.
 */
final class GenerationProposer {
    /** Lets VMs that start or die together fall into one generation. */
    private static final long SETTLING_MILLIS = 100;

    /** The same when the change would need the long wait: VMs that restart together may turn it into a short one. */
    private static final long LONG_SETTLING_MILLIS = 2_000;

    /** Head start of each rank over the next, longer than an append and its read. */
    private static final long RANK_MILLIS = 1_000;

    /** Entries beyond these never propose: three dead coordinators at once are waited out by the fourth. */
    private static final int PROPOSERS = 4;

    /** An append that was lost, or that met an outage, is tried again after this time. */
    private static final long REPEAT_MILLIS = 2_000;

    private final VmId self;
    private final LimitSettings settings;
    private Generation generation = Generation.none();
    private Set<VmId> desired = Set.of();
    /** Kept, as comparing hundreds of members at every tick shows as processor time. */
    private boolean differs;

    private long differsSinceMillis = Long.MIN_VALUE;
    private long proposedMillis = Long.MIN_VALUE / 2;
    private long reclaimedMillis = Long.MIN_VALUE / 2;
    private long stoppedMillis = Long.MIN_VALUE / 2;

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
        if (!live.equals(desired)) {
            desired = live;
            differsSinceMillis = nowMillis;
            differs = !live.equals(generation.members);
        }
    }

    void onGeneration(long nowMillis, Generation next) {
        generation = next;
        differs = !desired.isEmpty() && !desired.equals(next.members);
        differsSinceMillis = nowMillis;
        proposedMillis = Long.MIN_VALUE / 2;
        if (next.excludes()) {
            reclaimedMillis = nowMillis + CarryOver.waitMillis(next.record, settings);
            stoppedMillis = nowMillis + settings.stoppedAfterMillis() + settings.listLagMillis();
        }
    }

    void tick(long nowMillis, Consumer<LimitGenerationProposal> appender) {
        if (!differs) {
            return;
        }
        LimitGenerationRecord record = record(nowMillis);
        if (nowMillis < dueMillis(record) || nowMillis - proposedMillis < REPEAT_MILLIS) {
            return;
        }
        proposedMillis = nowMillis;
        appender.accept(new LimitGenerationProposal(record));
    }

    private long dueMillis(LimitGenerationRecord record) {
        int rank = record.members().indexOf(self);
        if (rank >= PROPOSERS) {
            return Long.MAX_VALUE;
        }
        long settling = record.longWait() ? LONG_SETTLING_MILLIS : SETTLING_MILLIS;
        long due = differsSinceMillis + settling + rank * RANK_MILLIS;
        // A new generation starts the wait for reclaimed parts anew. One that only lets VMs join gives them nothing
        // before the parts are there, so it comes after them; otherwise a fleet that restarts one VM at a time would
        // put its accounts' parts off for ever.
        boolean onlyJoins = desired.containsAll(generation.members);
        return onlyJoins ? Math.max(due, reclaimedMillis + SETTLING_MILLIS) : due;
    }

    private LimitGenerationRecord record(long nowMillis) {
        List<VmId> members = desired.stream()
                .sorted(Comparator.comparingLong((VmId vm) -> Rendezvous.weight("coordinator", vm.name()))
                        .thenComparing(VmId::name))
                .toList();
        List<VmId> former = generation.record.members();
        boolean excludes = !desired.containsAll(former);
        return new LimitGenerationRecord(
                generation.offset, self, members, former, excludes && needsLongWait(nowMillis, former));
    }

    /**
     * Whether VMs that are left out could still get words from a majority when every carrier has read the new generation.
     * A former member gives no more words once it has read it, or once a newer incarnation runs on its VM.
     */
    private boolean needsLongWait(long nowMillis, List<VmId> former) {
        long silent = former.stream().filter(this::givesNoMoreWords).count();
        boolean formerStepIsOver = nowMillis >= stoppedMillis;
        if (formerStepIsOver) {
            return silent <= former.size() / 2;
        }
        return silent < former.size() || generation.record.longWait();
    }

    private boolean givesNoMoreWords(VmId vm) {
        return desired.stream()
                .anyMatch(live -> live.name().equals(vm.name()) && live.incarnation() >= vm.incarnation());
    }
}
