package org.quetzalshunt.core.quota;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RenewalIntervalTest {
    /** Guards against several seconds without tokens after a restart of all VMs. */
    @ParameterizedTest
    @CsvSource({"false, 0, 250", "true, 1000, 1000"})
    void unsettledVmReadsAgainSoon(boolean settled, long least, long most) {
        assertThat(RenewalInterval.nextMillis(settled)).isAtLeast(least);
        assertThat(RenewalInterval.nextMillis(settled)).isAtMost(most);
    }
}
