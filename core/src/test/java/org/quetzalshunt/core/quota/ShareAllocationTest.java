package org.quetzalshunt.core.quota;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class ShareAllocationTest {
    private static List<String> members(int count) {
        return IntStream.range(0, count)
                .mapToObj(number -> "vm-" + number)
                .sorted()
                .toList();
    }

    private static ShareAllocation allocation(String self, List<String> members) {
        ShareAllocation allocation = ShareAllocation.create(self);
        allocation.setMembers(members);
        return allocation;
    }

    /** Guards against VMs that disagree on the owners, so that an account has too many owners or none. */
    @ParameterizedTest
    @CsvSource({"1, 20", "2, 20", "8, 20", "41, 2", "334, 20"})
    void targetsAddUpToTheWhole(int vms, double burst) {
        List<String> members = members(vms);
        for (int account = 0; account < 20; account++) {
            String name = "account-" + account;
            int parts = members.stream()
                    .mapToInt(vm -> allocation(vm, members).targetParts(name, burst))
                    .sum();
            assertThat(parts).isEqualTo(ShareAllocation.ALL_PARTS);
        }
    }

    /**
     * Guards against requests that miss the former primary owner after a VM has joined: it may still hold its share for
     * a moment.
     */
    @Test
    void formerOwnersAreCandidatesAfterAVmJoined() {
        Map<String, String> primaryBefore = new HashMap<>();
        ShareAllocation before = allocation("vm-0", members(40));
        ShareAllocation after = allocation("vm-0", members(41));
        for (int account = 0; account < 200; account++) {
            String name = "account-" + account;
            primaryBefore.put(name, before.candidates(name).get(0));
            assertThat(after.candidates(name)).contains(primaryBefore.get(name));
        }
    }
}
