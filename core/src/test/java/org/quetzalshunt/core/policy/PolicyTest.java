package org.quetzalshunt.core.policy;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

final class PolicyTest {
    @ParameterizedTest
    @EnumSource(Mechanism.class)
    void flagDisablesItsMechanismAlone(Mechanism mechanism) {
        Mechanism named = Mechanism.ofFlag(mechanism.flag()).orElseThrow();
        Policy policy = Policy.without(List.of(named));

        for (Mechanism each : Mechanism.values()) {
            assertThat(policy.isEnabled(each)).isEqualTo(each != mechanism);
            assertThat(Policy.allEnabled().isEnabled(each)).isTrue();
        }
    }

    // A mechanism that operators did not request must not take effect with the next release.
    @ParameterizedTest
    @EnumSource(Mechanism.class)
    void mechanismsOnRequestNeedTheirName(Mechanism mechanism) {
        assertThat(Policy.of(List.of(), List.of()).isEnabled(mechanism)).isEqualTo(!mechanism.isOnRequest());
        assertThat(Policy.of(List.of(mechanism), List.of()).isEnabled(mechanism))
                .isTrue();
        assertThat(Policy.of(List.of(mechanism), List.of(mechanism)).isEnabled(mechanism))
                .isFalse();
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "PREFIX_AFFINITY", "prefix_affinity", "prefix-affinity ", "everything"})
    void unknownNameIsRejected(String flag) {
        assertThat(Mechanism.ofFlag(flag)).isEqualTo(Optional.empty());
    }

    @Test
    void flagsAreLowerCaseWithHyphens() {
        assertThat(Mechanism.PREFIX_AFFINITY.flag()).isEqualTo("prefix-affinity");
    }
}
