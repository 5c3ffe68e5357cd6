package org.quetzalshunt.server.operator;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.wire.document.DocumentReader;
import org.quetzalshunt.wire.document.DocumentReading;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code quetzalshunt config}: service documents. */
@Command(name = "config", mixinStandardHelpOptions = true, description = "Checks, reads and changes service documents.")
public final class ConfigCommand {
    private static final int EXIT_INVALID = 1;

    @Spec
    private CommandSpec spec;

    /** Made by picocli. */
    public ConfigCommand() {}

    @Command(name = "validate", mixinStandardHelpOptions = true, description = "Checks a file, without any entry.")
    int validate(@Parameters(paramLabel = "FILE") Path file) throws IOException {
        DocumentReading reading = DocumentReader.read(Files.readString(file));
        PrintWriter out = spec.commandLine().getOut();
        if (reading instanceof DocumentReading.Invalid invalid) {
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
            description = "Prints a document; its version goes to stderr.")
    int get(@Mixin AdminOptions admin, @Parameters(paramLabel = "SERVICE") String service) {
        AdminClient.Answer answer = admin.client().send("GET", "services/" + service, Optional.empty(), "");
        answer.version().ifPresent(version -> err().println("version " + version));
        err().flush();
        if (answer.isGood()) {
            out().print(answer.body());
            out().flush();
            return 0;
        }
        return AdminOptions.print(answer, out(), err());
    }

    @Command(name = "put", mixinStandardHelpOptions = true, description = "Puts a document in place of a version.")
    int put(
            @Mixin AdminOptions admin,
            @Option(names = "--if-match", description = "version that it replaces, as get printed it") String ifMatch,
            @Option(names = "--dry-run", description = "only check it against the entry") boolean dryRun,
            @Parameters(paramLabel = "SERVICE") String service,
            @Parameters(paramLabel = "FILE") Path file)
            throws IOException {
        String path = "services/" + service + (dryRun ? "?dryRun" : "");
        AdminClient.Answer answer =
                admin.client().send("PUT", path, Optional.ofNullable(ifMatch), Files.readString(file));
        return AdminOptions.print(answer, out(), err());
    }

    @Command(
            name = "status",
            mixinStandardHelpOptions = true,
            description = "Shows what the system made of a document.")
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
