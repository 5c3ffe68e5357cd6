package org.quetzalshunt.core.limit;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.quetzalshunt.core.membership.Rendezvous;
import org.quetzalshunt.core.vm.VmId;

/** A generation of the limits as read from the configuration stream, with the homes of the accounts derived from it. */
final class Generation {
    /**
     * Maximum number of homes of a generation. Twelve homes spread the accounts well enough and bound the reports of a
     * change of generation to a dozen per member. With reports to every member, their number would grow with the square
     * of the fleet.
     */
    private static final int MAXIMUM_HOMES = 12;

    final long offset;
    final LimitGenerationRecord record;
    final Set<VmId> members;
    final List<VmId> homes;

    private final Map<AccountKey, Optional<VmId>> homeOfAccount = new HashMap<>();

    private Generation(long offset, LimitGenerationRecord record) {
        this.offset = offset;
        this.record = record;
        this.members = Set.copyOf(record.members());
        this.homes = record.members().stream()
                .sorted(Comparator.comparingLong((VmId vm) -> Rendezvous.weight("home", vm.name()))
                        .thenComparing(VmId::name))
                .limit(MAXIMUM_HOMES)
                .toList();
    }

    static Generation none() {
        return of(
                LimitGenerationRecord.NONE,
                new LimitGenerationRecord(LimitGenerationRecord.NONE, VmId.of("", 0), List.of(), List.of(), false));
    }

    static Generation of(long offset, LimitGenerationRecord record) {
        return new Generation(offset, record);
    }

    boolean contains(VmId vm) {
        return members.contains(vm);
    }

    /** Members of the former generation that are members of this one too, and so carry over their parts. */
    Set<VmId> survivors() {
        Set<VmId> survivors = new HashSet<>(record.formerMembers());
        survivors.retainAll(members);
        return survivors;
    }

    /** Whether a member of the former generation is not a member of this one, so that its parts must be reclaimed. */
    boolean excludesFormerMembers() {
        return !members.containsAll(record.formerMembers());
    }

    /**
     * The member that grants an account's unheld parts and tracks which entries may hold the others; empty without
     * members.
     */
    Optional<VmId> home(AccountKey key) {
        return homeOfAccount.computeIfAbsent(key, this::computeHome);
    }

    private Optional<VmId> computeHome(AccountKey key) {
        List<String> names = homes.stream().map(VmId::name).toList();
        return Rendezvous.winner(key.hashKey(), names)
                .flatMap(name ->
                        homes.stream().filter(vm -> vm.name().equals(name)).findFirst());
    }
}
