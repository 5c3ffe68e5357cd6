package org.quetzalshunt.server.operator;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import org.quetzalshunt.wire.json.Json;
import picocli.CommandLine.Option;

/** Where the administration API is, and how answers are printed. */
final class AdminOptions {
    private static final int EXIT_FAILED = 1;

    @Option(
            names = "--url",
            defaultValue = "${env:QUETZALSHUNT_URL:-http://127.0.0.1:8080}",
            description = "base URL of an entry ($QUETZALSHUNT_URL, default: http://127.0.0.1:8080)")
    private String url;

    @Option(
            names = "--operator-key",
            required = true,
            defaultValue = "${env:QUETZALSHUNT_OPERATOR_KEY}",
            description = "operator's key; better set by $QUETZALSHUNT_OPERATOR_KEY")
    private String key;

    AdminClient client() {
        return AdminClient.of(url, key);
    }

    /** Prints a body, indented when it is JSON; the result is the exit code. */
    static int print(AdminClient.Answer answer, PrintWriter out, PrintWriter error) {
        PrintWriter target = answer.isGood() ? out : error;
        String text = Json.parse(answer.body().getBytes(StandardCharsets.UTF_8))
                .map(Json::pretty)
                .orElse(answer.body());
        target.println(text);
        target.flush();
        return answer.isGood() ? 0 : EXIT_FAILED;
    }
}
