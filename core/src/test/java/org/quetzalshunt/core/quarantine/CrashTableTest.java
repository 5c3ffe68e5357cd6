package org.quetzalshunt.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

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

    private void quarantine(long nowMillis) {
        for (int crash = 0; crash < CrashTable.QUARANTINE_CRASHES; crash++) {
            table.recordCrash(nowMillis, "f", "a-" + crash);
        }
    }

    /** Guards against a request that keeps coming and is refused for good, although it never crashed an endpoint. */
    @Test
    void trialIsDueSomeTimeAfterTheLastCrash() {
        table.recordCrash(0, "f", "a-0");
        assertThat(table.dueTrial(CrashTable.TRIAL_DELAY_MILLIS, "f")).isEqualTo(OptionalInt.empty());
        quarantine(100);
        long due = 100 + CrashTable.TRIAL_DELAY_MILLIS;
        assertThat(table.dueTrial(due - 1, "f")).isEqualTo(OptionalInt.empty());
        assertThat(table.dueTrial(due, "f")).isEqualTo(OptionalInt.of(1));
    }

    /** Guards against a trial that several VMs run, or that one VM runs several times. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void firstClaimHasTheTrial(boolean own) {
        quarantine(0);
        table.recordTrial(6_000, "f", 1, own);
        table.recordTrial(6_000, "f", 1, !own);
        assertThat(table.takeTrial("f")).isEqualTo(own);
        assertThat(table.takeTrial("f")).isFalse();
        assertThat(table.isQuarantined(6_000, "f")).isTrue();
    }

    /** Guards against a request that does crash endpoints and gets trial after trial. */
    @ParameterizedTest
    @CsvSource({"true, 1", "false, 2"})
    void trialsAreLimited(boolean crashes, int trials) {
        quarantine(0);
        int runs = 0;
        for (long now = 0; now < 3 * CrashTable.RETENTION_MILLIS; now += 1_000) {
            assertThat(table.isQuarantined(now, "f")).isTrue();
            OptionalInt due = table.dueTrial(now, "f");
            if (due.isPresent()) {
                table.recordTrial(now, "f", due.getAsInt(), true);
                runs += table.takeTrial("f") ? 1 : 0;
                if (crashes) {
                    table.recordCrash(now + 500, "f", "b-" + now);
                }
            }
        }
        assertThat(runs).isEqualTo(trials);
    }

    /** Guards against a trial at a VM that started after a trial that crashed, and reads all reports at once. */
    @Test
    void vmThatReadsACrashAfterATrialHasNoTrial() {
        quarantine(0);
        table.recordCrash(0, "f", "b-0");
        table.recordTrial(0, "f", 1, false);
        assertThat(table.dueTrial(CrashTable.TRIAL_DELAY_MILLIS, "f")).isEqualTo(OptionalInt.empty());
    }

    /** Guards against reports that expire while the request keeps coming: a VM that starts then would run it. */
    @Test
    void reportsAreRenewedWhileTheRequestKeepsComing() {
        quarantine(0);
        long half = CrashTable.RETENTION_MILLIS / 2;
        assertThat(table.takeReportsToRenew(half - 1, "f")).isEmpty();
        assertThat(table.takeReportsToRenew(half, "f")).hasSize(CrashTable.QUARANTINE_CRASHES);
        assertThat(table.takeReportsToRenew(half + 1, "f")).isEmpty();
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
