package org.quetzalshunt.app;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.wire.document.DocumentReader;
import org.quetzalshunt.wire.document.DocumentResult;

/** Checks that the documented result codes and the example service documents match the code. */
final class DocumentationTest {
    private static final Path ROOT = Path.of("..");

    @ParameterizedTest
    @EnumSource(ResultCode.class)
    void everyResultCodeIsDocumented(ResultCode code) throws IOException {
        String row = "| " + code.number() + " | " + code.name() + " | " + code.status() + " | " + code.meaning() + " |";
        assertThat(Files.readString(ROOT.resolve("docs/CODES.md"))).contains(row);
    }

    @Test
    void tableListsNoUndefinedCodes() throws IOException {
        List<String> rows = Files.readAllLines(ROOT.resolve("docs/CODES.md")).stream()
                .filter(line -> line.matches("\\| \\d+ \\|.*"))
                .toList();
        assertThat(rows).hasSize(ResultCode.values().length);
    }

    @ParameterizedTest
    @ValueSource(
            strings = {"kite-readers-app.yaml", "kite-readers-llm.yaml", "mawe-kavu-app.yaml", "mawe-kavu-tutor.yaml"})
    void exampleDocumentIsValid(String name) throws IOException {
        DocumentResult result =
                DocumentReader.read(Files.readString(ROOT.resolve("examples").resolve(name)));
        assertThat(result).isInstanceOf(DocumentResult.Valid.class);
    }
}
