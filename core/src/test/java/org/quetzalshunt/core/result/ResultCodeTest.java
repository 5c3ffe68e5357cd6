package org.quetzalshunt.core.result;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

final class ResultCodeTest {
    @ParameterizedTest
    @EnumSource(ResultCode.class)
    void numberIsDecodedToItsCode(ResultCode code) {
        assertThat(ResultCode.fromNumber(code.number())).isEqualTo(code);
    }

    @Test
    void numbersAreUnique() {
        assertThat(Arrays.stream(ResultCode.values()).map(ResultCode::number).toList())
                .containsNoDuplicates();
    }
}
