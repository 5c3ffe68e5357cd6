package org.quetzalshunt.core.log;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** The end of an outage of the log, as seen by all sessions of a process. */
final class LogOutageTest {
    private final LogOutage outage = LogOutage.create();

    /** Guards against retries that a log which rejects part of the calls provokes by answering the others. */
    @ParameterizedTest
    @CsvSource({"999, false", "1000, true", "60000, true"})
    void onlyAnOutageOfSomeLengthEnds(long lengthMillis, boolean ends) {
        outage.onFailure(500);
        outage.onFailure(500 + lengthMillis / 2);
        assertThat(outage.endsWithAnswer(500 + lengthMillis)).isEqualTo(ends);
    }

    /** Guards against a second series of retries after the same outage. */
    @Test
    void anOutageEndsOnce() {
        outage.onFailure(0);
        assertThat(outage.endsWithAnswer(5_000)).isTrue();
        assertThat(outage.endsWithAnswer(9_000)).isFalse();
    }
}
