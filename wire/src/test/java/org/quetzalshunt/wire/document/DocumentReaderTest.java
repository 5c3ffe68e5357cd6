package org.quetzalshunt.wire.document;

import static com.google.common.truth.Truth.assertThat;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalshunt.core.document.ServiceDocument;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.document.ServiceLimits;
import org.quetzalshunt.wire.json.Json;

final class DocumentReaderTest {
    private static final Path ROOT = Path.of("..");
    private static final String HASH = "0123456789abcdef".repeat(4);
    private static final String MINIMAL = "service: tutor\nteam: mawe-kavu\nkind: engine\n";

    static Stream<Path> examples() throws IOException {
        try (Stream<Path> files = Files.list(ROOT.resolve("examples"))) {
            return files.filter(file -> file.toString().endsWith(".yaml")).sorted().toList().stream();
        }
    }

    @ParameterizedTest
    @MethodSource("examples")
    void examplesAreValid(Path example) throws IOException {
        DocumentResult result = DocumentReader.read(Files.readString(example));
        assertThat(result.errors()).isEmpty();
        assertThat(result.toOptional().map(document -> document.accounts().size()))
                .hasValue(8);
    }

    @Test
    void yamlAndJsonYieldTheSameDocument() {
        String yaml = MINIMAL
                + """
                accounts:
                  - name: arusha
                    keyHashes: [HASH]
                    requestsPerSecond: 2.5
                    burst: 20
                nonIdempotentCalls: [{method: POST, path: /issues}]
                limits: {maximumTurns: 7}
                models: [tutor-7b@3]
                engineChecksFencing: true
                """
                        .replace("HASH", HASH);
        String json =
                """
                {"service": "tutor", "team": "mawe-kavu", "kind": "engine",
                 "accounts": [{"name": "arusha", "keyHashes": ["HASH"], "requestsPerSecond": 2.5, "burst": 20}],
                 "nonIdempotentCalls": [{"method": "POST", "path": "/issues"}],
                 "limits": {"maximumTurns": 7}, "models": ["tutor-7b@3"], "engineChecksFencing": true}
                """
                        .replace("HASH", HASH);
        ServiceDocument document = DocumentReader.read(yaml).toOptional().orElseThrow();
        assertThat(DocumentReader.read(json).toOptional()).hasValue(document);
        assertThat(document.kind()).isEqualTo(ServiceKind.ENGINE);
        assertThat(document.accounts().get(0).requestsPerSecond()).isEqualTo(2.5);
        assertThat(document.accounts().get(0).weight()).isEqualTo(1.0);
        assertThat(document.limits().maximumTurns()).isEqualTo(7);
        assertThat(document.limits().stallMillis())
                .isEqualTo(ServiceLimits.defaults().stallMillis());
        assertThat(document.engineChecksFencing()).isTrue();
        assertThat(document.isNonIdempotent("POST", "/issues/7")).isTrue();
    }

    /**
     * Guards against a reader that stops at the first error. An operator with several errors in one document would
     * have to submit it once for each of them.
     */
    @Test
    void allErrorsAreReportedTogetherWithTheirLines() {
        String text =
                """
                service: Tutor
                team: mawe-kavu
                kind: engin
                accounts:
                  - name: arusha
                    keyHashes: [abc]
                    requestsPerSecond: -1
                    burst: 0.5
                  - name: arusha
                    requestsPerSecond: fast
                    burst: 5
                    wieght: 2
                limits:
                  maximumTurns: 1.5
                """;
        List<String> places = DocumentReader.read(text).errors().stream()
                .map(error -> error.line() + " " + error.path())
                .toList();
        assertThat(places)
                .containsExactly(
                        "1 service",
                        "3 kind",
                        "6 accounts[0].keyHashes[0]",
                        "7 accounts[0].requestsPerSecond",
                        "8 accounts[0].burst",
                        "9 accounts[1].name",
                        "10 accounts[1].requestsPerSecond",
                        "12 accounts[1].wieght",
                        "14 limits.maximumTurns")
                .inOrder();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "''|empty",
                "service: [a|can be parsed",
                "- a|a mapping",
                "service: tutor\\nservice: tutor|used only once in its mapping",
                "a: &x [1]\\nb: *x|alias",
                "a: &x {b: 1}\\n<<: *x|alias",
                "a: [[[[[[[[[1]]]]]]]]]|levels",
                "service: tutor\\n---\\nservice: other|one document",
                "service: !!java.io.File [x]|lower-case letters",
                "limits: {reservationTokens: 5, programBudgetTokens: 4}|no more than programBudgetTokens",
                "limits: 7|a mapping",
                "models: [tutor]|name@version",
                "engineChecksFencing: 1|true or false",
                "nonIdempotentCalls: [{method: post, path: issues}]|in capitals",
            })
    void invalidTextIsRejected(String text, String expected) {
        List<DocumentError> errors =
                DocumentReader.read(text.replace("\\n", "\n")).errors();
        assertThat(errors.toString()).contains(expected);
    }

    /** Guards against a key of two accounts, with which a request could run for the wrong account. */
    @Test
    void keyOfTwoAccountsIsRejected() {
        String account = "\n    keyHashes: [" + HASH + "]\n    requestsPerSecond: 1\n    burst: 1\n";
        String text = MINIMAL + "accounts:\n  - name: arusha" + account + "  - name: moshi" + account;
        assertThat(DocumentReader.read(text).errors().toString()).contains("used only once in the document");
    }

    @Test
    void hashOfDigitsOnlyIsReadAsText() {
        String digits = "1".repeat(64);
        String text = MINIMAL + "accounts: [{name: a, keyHashes: [" + digits + "], requestsPerSecond: 1, burst: 1}]\n";
        assertThat(DocumentReader.read(text)
                        .toOptional()
                        .orElseThrow()
                        .accounts()
                        .get(0)
                        .keyHashes())
                .containsExactly(digits);
    }

    @Test
    void oversizedTextsListsAndErrorsAreBounded() {
        assertThat(DocumentReader.read("#".repeat(DocumentReader.MAXIMUM_BYTES + 1))
                        .errors())
                .hasSize(1);
        String many = MINIMAL + "accounts: [" + "{},".repeat(1_001) + "]\n";
        assertThat(DocumentReader.read(many).errors().toString()).contains("at most 1000 items");
        String wrong = MINIMAL + "accounts: [" + "{},".repeat(999) + "]\n";
        assertThat(DocumentReader.read(wrong).errors()).hasSize(100);
    }

    /** Guards against a published schema by which an editor rejects a field that the reader accepts, or the reverse. */
    @Test
    void schemaListsTheFieldsThatTheReaderAccepts() throws IOException {
        JsonNode schema = Json.parse(Files.readAllBytes(ROOT.resolve("docs/service-document.schema.json")))
                .orElseThrow();
        JsonNode properties = schema.path("properties");
        assertThat(knownFieldsAt("x: 1", "")).isEqualTo(names(properties));
        assertThat(knownFieldsAt("limits: {x: 1}", "limits.")).isEqualTo(names(properties.at("/limits/properties")));
        assertThat(knownFieldsAt("accounts: [{x: 1}]", "accounts[0]."))
                .isEqualTo(names(properties.at("/accounts/items/properties")));
        assertThat(knownFieldsAt("nonIdempotentCalls: [{x: 1}]", "nonIdempotentCalls[0]."))
                .isEqualTo(names(properties.at("/nonIdempotentCalls/items/properties")));
    }

    private static String knownFieldsAt(String text, String path) {
        return DocumentReader.read(text).errors().stream()
                .filter(error -> error.path().equals(path + "x"))
                .map(error -> error.expected().replaceFirst(".*the known fields are ", ""))
                .findFirst()
                .orElseThrow();
    }

    private static String names(JsonNode properties) {
        return String.join(
                ", ",
                properties.properties().stream().map(Map.Entry::getKey).sorted().toList());
    }
}
