package org.quetzalshunt.server.operator;

import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import org.quetzalshunt.wire.json.Json;
import picocli.CommandLine.Option;

/** Options for the address and key of the administration API, and the output of its responses. */
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
            description = "key of the operator; preferably set in $QUETZALSHUNT_OPERATOR_KEY")
    private String key;

    AdminClient client() {
        return AdminClient.of(url, key);
    }

    /** Prints the body, indented if it is JSON, and returns the exit code. */
    static int print(AdminClient.Response response, PrintWriter out, PrintWriter error) {
        PrintWriter target = response.isSuccess() ? out : error;
        String text = Json.parse(response.body().getBytes(StandardCharsets.UTF_8))
                .map(Json::pretty)
                .orElse(response.body());
        target.println(text);
        target.flush();
        return response.isSuccess() ? 0 : EXIT_FAILED;
    }
}
