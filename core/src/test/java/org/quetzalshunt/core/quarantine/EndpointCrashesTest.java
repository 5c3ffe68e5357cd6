package org.quetzalshunt.core.quarantine;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Which detections of a crash are the same crash. */
final class EndpointCrashesTest {
    private final EndpointCrashes crashes = EndpointCrashes.create();
    private final String first = crashes.identify(1_000, "app-1", 7, 900);

    /** Guards against one crash that counts once for each request that was running, and against crashes taken for one. */
    @ParameterizedTest
    @CsvSource({
        "1_000, app-1, 7, 800, true",
        "1_200, app-1, 7, 990, true",
        "1_000, app-2, 7, 900, false",
        "9_000, app-1, 8, 8_000, false",
        "9_000, app-1, 7, 8_000, false",
    })
    void crashIsTheSameForAllRequestsThatWereRunning(
            String nowMillis, String endpoint, long startedMillis, String sentMillis, boolean same) {
        String second = crashes.identify(millis(nowMillis), endpoint, startedMillis, millis(sentMillis));

        assertThat(second.equals(first)).isEqualTo(same);
    }

    private static long millis(String text) {
        return Long.parseLong(text.replace("_", ""));
    }

    /** Guards against one crash that counts twice because two VMs saw it, before or after one read the other's report. */
    @Test
    void crashHasTheSameIdAtAllVms() {
        EndpointCrashes other = EndpointCrashes.create();
        assertThat(other.identify(51_000, "app-1", 7, 50_000)).isEqualTo(first);

        EndpointCrashes reader = EndpointCrashes.create();
        reader.onReport(51_000, first);
        assertThat(reader.identify(51_100, "app-1", 7, 50_000)).isEqualTo(first);
        String next = reader.identify(59_000, "app-1", 7, 58_000);
        assertThat(next).isEqualTo(crashes.identify(9_000, "app-1", 7, 8_000));
        assertThat(next).isNotEqualTo(first);
    }

    /** Guards against a failure on reports of gateways of another version. */
    @ParameterizedTest
    @CsvSource({"vm-1:abc-0", "x.", ".", "x.1.-2", "''"})
    void otherIdsAreIgnored(String id) {
        crashes.onReport(1_000, id);
        assertThat(crashes.identify(1_000, "app-1", 7, 900)).isEqualTo(first);
    }

    /** Guards against a process that runs out of memory by a report that names a crash with a huge number. */
    @ParameterizedTest
    @ValueSource(strings = {"x.7.999999", "x.7.1000", "x.7.-1", "x.7.99999999999999999999", "x", "", ".", "x.7.1e9"})
    void reportWithAnOddNumberIsIgnored(String crash) {
        EndpointCrashes reader = EndpointCrashes.create();
        reader.onReport(1_000, "x.7.0");
        reader.onReport(1_000, crash);
        assertThat(reader.size()).isEqualTo(1);
    }
}
