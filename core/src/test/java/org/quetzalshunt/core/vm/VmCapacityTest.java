package org.quetzalshunt.core.vm;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class VmCapacityTest {
    // A limit that was absent or invalid in the settings must not be used as a capacity of zero.
    @ParameterizedTest
    @CsvSource({"0", "-1", "NaN", "Infinity"})
    void invalidCoresAreUnknown(double cores) {
        assertThat(VmCapacity.of(cores, 1, 1, 1).cores().isPresent()).isFalse();
    }

    @ParameterizedTest
    @CsvSource({"0", "-7"})
    void invalidMemoryIsUnknown(long memoryBytes) {
        assertThat(VmCapacity.of(1, memoryBytes, 1, 1).memoryBytes().isPresent())
                .isFalse();
    }

    @ParameterizedTest
    @CsvSource({"0.2, 1000", "1.5, 7"})
    void statedValuesAreKept(double cores, long memoryBytes) {
        VmCapacity capacity = VmCapacity.of(cores, memoryBytes, 4_100, 30);
        assertThat(capacity.cores().getAsDouble()).isEqualTo(cores);
        assertThat(capacity.memoryBytes().getAsLong()).isEqualTo(memoryBytes);
    }
}
