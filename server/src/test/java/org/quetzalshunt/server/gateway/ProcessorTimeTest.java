package org.quetzalshunt.server.gateway;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Processor time of the process by kind of work. */
final class ProcessorTimeTest {
    private static final String FIELDS = " S 1 2 2 0 -1 4194368 0 0 0 0 25 17 0 0 20 0 15 0";

    /** Guards against the price of a start that is counted as work for callers. */
    @ParameterizedTest
    @CsvSource({
        "multiThreadIoEv, EVENT_LOOP",
        "C1 CompilerThre, COMPILER",
        "C2 CompilerThre, COMPILER",
        "VM Thread, COLLECTOR",
        "GC Thread#0, COLLECTOR",
        "java, START",
        "decision-log, OTHER",
        "odd) name (, OTHER",
    })
    void threadIsCountedByItsName(String name, ProcessorTime.Kind kind) {
        assertThat(ProcessorTime.parse("42 (" + name + ")" + FIELDS)).hasValue(new ProcessorTime.Usage(kind, 420));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "42", "42 (java", "42 (java) S 1 2"})
    void incompleteLineIsNotCounted(String line) {
        assertThat(ProcessorTime.parse(line)).isEmpty();
    }

    @Test
    void ownProcessHasProcessorTime() {
        assertThat(ProcessorTime.millis().values().stream()
                        .mapToLong(millis -> millis)
                        .sum())
                .isGreaterThan(0);
    }
}
