package org.quetzalshunt.wire.record;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.quetzalshunt.core.configuration.ConfigurationChange;
import org.quetzalshunt.core.configuration.ConfigurationChange.LimitGenerationChange;
import org.quetzalshunt.core.limit.LimitGenerationRecord;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.wire.generated.LimitGeneration;

/** Converts generations of the distributed rate limits to Thrift values and back. */
final class LimitGenerationCodec {
    /** Maximum number of VMs in a generation, far above the size of the largest deployment. */
    private static final int MAXIMUM_MEMBERS = 10_000;

    private LimitGenerationCodec() {}

    static LimitGeneration write(LimitGenerationChange change) {
        LimitGenerationRecord generation = change.generation();
        return new LimitGeneration(
                        generation.basedOnGeneration(),
                        generation.coordinator().name(),
                        generation.coordinator().incarnation(),
                        names(generation.members()),
                        change.notedMillis())
                .setMemberIncarnations(incarnations(generation.members()))
                .setFormerMembers(names(generation.formerMembers()))
                .setFormerIncarnations(incarnations(generation.formerMembers()))
                .setLongWait(generation.longWait());
    }

    static Optional<ConfigurationChange> read(LimitGeneration generation) {
        Optional<List<VmId>> members = ids(generation.getMembers(), generation.getMemberIncarnations());
        Optional<List<VmId>> former = ids(generation.getFormerMembers(), generation.getFormerIncarnations());
        if (!ConfigurationRecordCodec.areValidNames(generation.getCoordinator())
                || members.isEmpty()
                || former.isEmpty()) {
            return Optional.empty();
        }
        LimitGenerationRecord value = new LimitGenerationRecord(
                generation.getBasedOnGeneration(),
                VmId.of(generation.getCoordinator(), generation.getIncarnation()),
                members.get(),
                former.get(),
                generation.isLongWait());
        return Optional.of(new LimitGenerationChange(value, generation.getNotedMillis()));
    }

    private static Optional<List<VmId>> ids(List<String> names, List<Long> incarnations) {
        if (names == null || incarnations == null || names.size() != incarnations.size()) {
            return Optional.empty();
        }
        if (names.size() > MAXIMUM_MEMBERS || !ConfigurationRecordCodec.areValidNames(names.toArray(new String[0]))) {
            return Optional.empty();
        }
        List<VmId> ids = new ArrayList<>();
        for (int index = 0; index < names.size(); index++) {
            ids.add(VmId.of(names.get(index), incarnations.get(index)));
        }
        return Optional.of(List.copyOf(ids));
    }

    private static List<String> names(List<VmId> ids) {
        return ids.stream().map(VmId::name).toList();
    }

    private static List<Long> incarnations(List<VmId> ids) {
        return ids.stream().map(VmId::incarnation).toList();
    }
}
