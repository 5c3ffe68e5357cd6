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

/** The generation in force, as every reader of the configuration stream sees it. */
final class Generation {
    /**
     * Homes of a generation. A dozen spread the accounts well enough, and bound the reports of a change of generation to
     * a dozen a member, where reports to every member would grow with the square of the fleet.
     */
    private static final int MOST_HOMES = 12;

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
                .limit(MOST_HOMES)
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

    /** Members of the former generation that are members of this one, and so carry over what they hold. */
    Set<VmId> carriers() {
        Set<VmId> carriers = new HashSet<>(record.formerMembers());
        carriers.retainAll(members);
        return carriers;
    }

    /** Whether a member of the former generation was left out, so that its part has to be reclaimed. */
    boolean excludes() {
        return !members.containsAll(record.formerMembers());
    }

    /** The member that grants an account's unheld part and knows who may hold the rest; empty without members. */
    Optional<VmId> home(AccountKey key) {
        return homeOfAccount.computeIfAbsent(key, this::computeHome);
    }

    private Optional<VmId> computeHome(AccountKey key) {
        List<String> names = homes.stream().map(VmId::name).toList();
        return Rendezvous.winner(key.hashText(), names)
                .flatMap(name ->
                        homes.stream().filter(vm -> vm.name().equals(name)).findFirst());
    }
}
