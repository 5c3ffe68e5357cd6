package org.quetzalshunt.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

final class CrashTableTest {
    private final CrashTable table = CrashTable.create();

    @Test
    void requestIsQuarantinedAfterTheThirdCrash() {
        table.recordCrash(0, "f", "a-1");
        table.recordCrash(0, "f", "b-1");
        assertThat(table.isQuarantined(1, "f")).isFalse();
        table.recordCrash(1, "f", "a-2");
        assertThat(table.isQuarantined(2, "f")).isTrue();
        assertThat(table.isQuarantined(2, "other")).isFalse();
    }

    @Test
    void crashReportedTwiceCountsOnce() {
        for (int time = 0; time < 5; time++) {
            table.recordCrash(time, "f", "a-1");
        }
        assertThat(table.isQuarantined(5, "f")).isFalse();
    }

    /**
     * Several endpoints crash for an unrelated reason while they run the same request. Guards against quarantining a
     * request that an endpoint has answered in between.
     */
    @Test
    void answeredRequestIsNotQuarantined() {
        table.recordCrash(0, "f", "a-1");
        table.recordCrash(0, "f", "a-2");
        table.recordAnswer("f");
        table.recordCrash(0, "f", "a-3");
        assertThat(table.isQuarantined(1, "f")).isFalse();
    }

    /** Guards against a request that stays quarantined at one VM after an endpoint answered it at another. */
    @Test
    void answerAtAnotherVmRemovesItsCrashes() {
        CrashTable other = CrashTable.create();
        for (String crash : List.of("a-1", "a-2", "b-1")) {
            table.recordCrash(0, "f", crash);
            other.recordCrash(0, "f", crash);
        }
        other.recordCrash(0, "f", "b-2");
        table.recordAnswer("f").forEach(crash -> other.removeCrash("f", crash));
        assertThat(other.isQuarantined(1, "f")).isFalse();
        assertThat(other.isEmpty()).isFalse();
        other.removeCrash("f", "b-2");
        assertThat(other.isEmpty()).isTrue();
    }

    /** Guards against a request that crashes further endpoints because it kept coming until its entry had expired. */
    @Test
    void quarantineLastsWhileTheRequestKeepsComing() {
        for (int crash = 0; crash < CrashTable.QUARANTINE_CRASHES; crash++) {
            table.recordCrash(0, "f", "a-" + crash);
        }
        long pauseMillis = CrashTable.RETENTION_MILLIS / 10;
        for (long now = 0; now < 3 * CrashTable.RETENTION_MILLIS; now += pauseMillis) {
            assertThat(table.isQuarantined(now, "f")).isTrue();
        }
    }

    @Test
    void quarantineExpires() {
        for (int crash = 0; crash < CrashTable.QUARANTINE_CRASHES; crash++) {
            table.recordCrash(0, "f", "a-" + crash);
        }
        assertThat(table.isQuarantined(CrashTable.RETENTION_MILLIS, "f")).isFalse();
        assertThat(table.isEmpty()).isTrue();
    }
}
