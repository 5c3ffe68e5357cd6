package org.quetzalshunt.server.operator;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.wire.document.DocumentReader;
import org.quetzalshunt.wire.document.DocumentResult;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code quetzalshunt config}: commands for service documents. */
@Command(
        name = "config",
        mixinStandardHelpOptions = true,
        description = "Validates, reads and replaces service documents.")
public final class ConfigCommand {
    private static final int EXIT_INVALID = 1;

    @Spec
    private CommandSpec spec;

    /** Instantiated by picocli. */
    public ConfigCommand() {}

    @Command(
            name = "validate",
            mixinStandardHelpOptions = true,
            description = "Validates a file locally, without an entry.")
    int validate(@Parameters(paramLabel = "FILE") Path file) throws IOException {
        DocumentResult result = DocumentReader.read(Files.readString(file));
        PrintWriter out = spec.commandLine().getOut();
        if (result instanceof DocumentResult.Invalid invalid) {
            invalid.errors()
                    .forEach(problem -> out.printf(
                            "%s:%d: %d %s: expected %s%n",
                            file,
                            problem.line(),
                            ResultCode.INVALID_DOCUMENT.number(),
                            problem.path(),
                            problem.expected()));
            out.flush();
            return EXIT_INVALID;
        }
        out.println(file + ": valid");
        out.flush();
        return 0;
    }

    @Command(
            name = "get",
            mixinStandardHelpOptions = true,
            description = "Prints a document to stdout and its version to stderr.")
    int get(@Mixin AdminOptions admin, @Parameters(paramLabel = "SERVICE") String service) {
        AdminClient.Response response = admin.client().send("GET", "services/" + service, Optional.empty(), "");
        response.version().ifPresent(version -> err().println("version " + version));
        err().flush();
        if (response.isSuccess()) {
            out().print(response.body());
            out().flush();
            return 0;
        }
        return AdminOptions.print(response, out(), err());
    }

    @Command(
            name = "put",
            mixinStandardHelpOptions = true,
            description = "Creates a document or replaces its current version.")
    int put(
            @Mixin AdminOptions admin,
            @Option(names = "--if-match", description = "version to be replaced, as printed by get") String ifMatch,
            @Option(names = "--dry-run", description = "validate at the entry without storing") boolean dryRun,
            @Parameters(paramLabel = "SERVICE") String service,
            @Parameters(paramLabel = "FILE") Path file)
            throws IOException {
        String path = "services/" + service + (dryRun ? "?dryRun" : "");
        AdminClient.Response response =
                admin.client().send("PUT", path, Optional.ofNullable(ifMatch), Files.readString(file));
        return AdminOptions.print(response, out(), err());
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Prints which entries apply a document, and the state of its endpoints, accounts and limits.")
    int status(@Mixin AdminOptions admin, @Parameters(paramLabel = "SERVICE") String service) {
        return AdminOptions.print(
                admin.client().send("GET", "services/" + service + "/status", Optional.empty(), ""), out(), err());
    }

    @Command(name = "history", mixinStandardHelpOptions = true, description = "Lists the versions of a document.")
    int history(@Mixin AdminOptions admin, @Parameters(paramLabel = "SERVICE") String service) {
        return AdminOptions.print(
                admin.client().send("GET", "services/" + service + "/history", Optional.empty(), ""), out(), err());
    }

    private PrintWriter out() {
        return spec.commandLine().getOut();
    }

    private PrintWriter err() {
        return spec.commandLine().getErr();
    }
}
