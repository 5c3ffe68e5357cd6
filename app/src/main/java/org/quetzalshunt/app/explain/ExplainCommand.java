package org.quetzalshunt.app.explain;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.wire.json.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/** {@code quetzalshunt explain}: finds the cause of a failure, or statistics of lost work, in the gateways' logs. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description =
                "Explains the outcome of a request or program from gateway logs, or with --losses where work was lost.")
public final class ExplainCommand implements Callable<Integer> {
    private static final int EXIT_SUCCESS = 0;
    private static final int EXIT_FAILURE = 1;

    @Spec
    private CommandSpec spec;

    @Parameters(arity = "0..1", paramLabel = "ID", description = "id of a request or of a program")
    private String id;

    @Option(
            names = "--losses",
            description = "print tables of late, refused and failed work instead of explaining one request")
    private boolean losses;

    @Option(
            names = "--logs",
            required = true,
            arity = "1..*",
            paramLabel = "FILE",
            description = "log files, plain or gzip")
    private List<Path> logs;

    @Option(names = "--json", description = "print one JSON object")
    private boolean json;

    @Option(names = "--progress", description = "print the name of each file on standard error before reading it")
    private boolean progress;

    /** Instantiated by picocli. */
    public ExplainCommand() {}

    @Override
    public Integer call() {
        if (losses == (id != null)) {
            throw new ParameterException(spec.commandLine(), "exactly one of ID and --losses is required");
        }
        PrintWriter out = spec.commandLine().getOut();
        LogFiles files = new LogFiles(logs, this::printProgress);
        try {
            int exit = losses ? printLosses(files, out) : explain(files, out);
            reportUndecodableLines(files);
            return exit;
        } catch (IOException exception) {
            printError(ResultCode.COMMAND_FAILED, exception.toString());
            return EXIT_FAILURE;
        }
    }

    private void printProgress(Path file) {
        if (progress) {
            spec.commandLine().getErr().println("reading " + file);
        }
    }

    private void reportUndecodableLines(LogFiles files) {
        if (files.undecodableLines() > 0) {
            spec.commandLine()
                    .getErr()
                    .printf("%d of %d lines could not be decoded%n", files.undecodableLines(), files.linesRead());
        }
    }

    private int printLosses(LogFiles files, PrintWriter out) throws IOException {
        LossReport report = LossReport.read(files);
        if (json) {
            out.println(report.json());
        } else {
            report.print(out);
        }
        return EXIT_SUCCESS;
    }

    private int explain(LogFiles files, PrintWriter out) throws IOException {
        Optional<RequestReport> report = RequestReport.read(id, files);
        if (report.isEmpty()) {
            printError(ResultCode.COMMAND_FAILED, "no log line has the id " + id);
            return EXIT_FAILURE;
        }
        if (json) {
            out.println(json(report.get()));
        } else {
            report.get().print(out);
        }
        return EXIT_SUCCESS;
    }

    private static ObjectNode json(RequestReport report) {
        ObjectNode root = Json.object()
                .put("request", report.explained().text("request"))
                .put("cause", FailureCause.sentence(report.explained()));
        ArrayNode requests = root.putArray("requests");
        report.requests().forEach(line -> requests.add(line.fields()));
        ArrayNode gatewayEvents = root.putArray("beliefs");
        report.gatewayEvents().forEach(line -> gatewayEvents.add(line.fields()));
        return root;
    }

    private void printError(ResultCode code, String message) {
        spec.commandLine().getErr().printf("%d %s: %s%n", code.number(), code.meaning(), message);
    }
}
