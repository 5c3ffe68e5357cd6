package org.quetzalshunt.app.explain;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.GZIPOutputStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import picocli.CommandLine;

/** Runs the explain command on the logs of two VMs, one plain and one gzip. */
final class ExplainCommandTest {
    private static final List<String> FIRST_VM = List.of(
            line(1_000, "vm-1", "\"event\":\"start\",\"dataCentre\":\"a\""),
            line(4_000, "vm-1", "\"event\":\"dependency-lost\",\"dependency\":\"configuration\",\"reason\":\"reset\""),
            request(5_000, "vm-1", "q1", "p1", 0, 90, ",\"sentAfterMillis\":10,\"firstEventAfterMillis\":60"),
            request(6_000, "vm-1", "q2", "p1", 5000, 2, ",\"detail\":\"the store is unavailable\""),
            request(9_000, "vm-1", "q9", "p9", 2000, 900, ""));
    private static final List<String> SECOND_VM = List.of(
            "12.0 vm-2 " + line(1_000, "vm-2", "\"event\":\"start\",\"dataCentre\":\"b\""),
            request(
                    7_000,
                    "vm-2",
                    "q3",
                    "p1",
                    0,
                    900,
                    ",\"tokenAfterMillis\":700,\"sentAfterMillis\":710,\"firstEventAfterMillis\":800,\"programLeftMillis\":-5"),
            request(7_500, "vm-2", "q4", "p2", 4007, 300, ""),
            "{\"time\":7600,\"vm\":\"vm-2\",\"event\":\"request\",\"reque");

    @TempDir
    private Path folder;

    private final StringWriter out = new StringWriter();
    private final StringWriter error = new StringWriter();
    private Path plain;
    private Path gzip;

    private static String line(long time, String vm, String rest) {
        return "{\"time\":" + time + ",\"vm\":\"" + vm + "\"," + rest + "}";
    }

    private static String request(long time, String vm, String id, String program, int code, long took, String more) {
        return line(
                time,
                vm,
                "\"event\":\"request\",\"request\":\"" + id + "\",\"program\":\"" + program
                        + "\",\"route\":\"chat\",\"account\":\"arusha\",\"code\":" + code + ",\"tookMillis\":" + took
                        + ",\"targetMillis\":200" + more);
    }

    @BeforeEach
    void writeLogs() throws IOException {
        plain = Files.write(folder.resolve("vm-1.log"), FIRST_VM);
        gzip = folder.resolve("vm-2.log.gz");
        try (OutputStream target = new GZIPOutputStream(Files.newOutputStream(gzip))) {
            target.write(String.join("\n", SECOND_VM).getBytes(StandardCharsets.UTF_8));
        }
    }

    private int run(String... words) {
        List<String> arguments = new ArrayList<>(List.of(words));
        arguments.addAll(List.of("--logs", plain.toString(), gzip.toString()));
        return new CommandLine(new ExplainCommand())
                .setOut(new PrintWriter(out, true))
                .setErr(new PrintWriter(error, true))
                .execute(arguments.toArray(String[]::new));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "q1 | q1: Served in time.",
                "q2 | q2: Not served: the store did not answer its gateway (the store is unavailable).",
                "q3 | q3: Served late, most of the time for the wait for a token of the quota.",
                "q4 | q4: Not served: the connection to the endpoint broke before the answer was whole.",
                "p1 | q2: Not served: the store did not answer its gateway (the store is unavailable)."
            })
    void reportStartsWithTheCauseInOneSentence(String id, String sentence) {
        assertThat(run(id)).isEqualTo(0);
        assertThat(out.toString()).startsWith(sentence);
    }

    @Test
    void reportHasAllRequestsOfTheProgramInOrderAndEventsOfItsGateway() {
        run("q2");
        String report = out.toString();
        assertThat(report).containsMatch("(?s) q1 .*\\* .* q2 .* q3 .*dependency-lost");
        assertThat(report).doesNotContain("q4");
    }

    @Test
    void lossesAreCountedByEachDimension() {
        assertThat(run("--losses", "--json")).isEqualTo(0);
        assertThat(out.toString().trim())
                .isEqualTo("{\"reason\":{"
                        + "\"answer cut\":{\"all\":1,\"late\":0,\"refused\":0,\"failed\":1},"
                        + "\"late: the wait for a token of the quota\":{\"all\":1,\"late\":1,\"refused\":0,\"failed\":0},"
                        + "\"log unavailable\":{\"all\":1,\"late\":0,\"refused\":1,\"failed\":0},"
                        + "\"rate exceeded\":{\"all\":1,\"late\":0,\"refused\":1,\"failed\":0}},"
                        + "\"kind\":{\"chat\":{\"all\":5,\"late\":1,\"refused\":2,\"failed\":1}},"
                        + "\"data centre\":{\"a\":{\"all\":3,\"late\":0,\"refused\":2,\"failed\":0},"
                        + "\"b\":{\"all\":2,\"late\":1,\"refused\":0,\"failed\":1}},"
                        + "\"account\":{\"arusha\":{\"all\":5,\"late\":1,\"refused\":2,\"failed\":1}},"
                        + "\"time\":{\"      6 s\":{\"all\":2,\"late\":1,\"refused\":0,\"failed\":1},"
                        + "\"      4 s\":{\"all\":2,\"late\":0,\"refused\":1,\"failed\":0},"
                        + "\"      8 s\":{\"all\":1,\"late\":0,\"refused\":1,\"failed\":0}},"
                        + "\"programs\":{\"answer cut\":{\"all\":1,\"late\":0,\"refused\":0,\"failed\":1},"
                        + "\"program late\":{\"all\":1,\"late\":0,\"refused\":0,\"failed\":1},"
                        + "\"rate exceeded\":{\"all\":1,\"late\":0,\"refused\":0,\"failed\":1}}}");
        assertThat(error.toString()).contains("1 of 9 lines could not be decoded");
    }

    /** Guards against a reader whose memory grows with the length of a line. */
    @Test
    void overlongLineIsCountedAndSkipped() throws IOException {
        Files.writeString(plain, "{\"time\":1" + " ".repeat(1_000_000) + "}\n" + FIRST_VM.get(3) + "\n");
        assertThat(run("q2")).isEqualTo(0);
        assertThat(out.toString()).startsWith("q2: Not served");
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "q1 --losses"})
    void exactlyOneOfIdAndLossesIsRequired(String words) {
        assertThat(run(words.isEmpty() ? new String[0] : words.split(" "))).isEqualTo(2);
    }

    @Test
    void unknownIdGivesFailureExitCode() {
        assertThat(run("nowhere")).isEqualTo(1);
        assertThat(error.toString()).contains("7001");
    }

    @Test
    void missingFileGivesFailureExitCode() throws IOException {
        Files.delete(plain);
        assertThat(run("--losses")).isEqualTo(1);
    }
}
