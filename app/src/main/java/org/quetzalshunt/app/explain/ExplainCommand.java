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

/** {@code quetzalshunt explain}: from the gateways' logs to the cause of a failure, or to where work was lost. */
@Command(
        name = "explain",
        mixinStandardHelpOptions = true,
        description =
                "Tells from gateways' logs what became of a request or program, or with --losses where work was lost.")
public final class ExplainCommand implements Callable<Integer> {
    private static final int DONE = 0;
    private static final int NOT_FOUND = 1;

    @Spec
    private CommandSpec spec;

    @Parameters(arity = "0..1", paramLabel = "ID", description = "id of a request or of a program")
    private String id;

    @Option(names = "--losses", description = "tables of late, refused and failed work instead of one request")
    private boolean losses;

    @Option(names = "--logs", required = true, arity = "1..*", paramLabel = "FILE", description = "logs, plain or gzip")
    private List<Path> logs;

    @Option(names = "--json", description = "one JSON object")
    private boolean json;

    @Option(names = "--progress", description = "tells on standard error which file is read")
    private boolean progress;

    /** Made by picocli. */
    public ExplainCommand() {}

    @Override
    public Integer call() {
        if (losses == (id != null)) {
            throw new ParameterException(spec.commandLine(), "either an ID or --losses is needed");
        }
        PrintWriter out = spec.commandLine().getOut();
        LogFiles files = new LogFiles(logs, this::progress);
        try {
            int exit = losses ? losses(files, out) : story(files, out);
            noteBroken(files);
            return exit;
        } catch (IOException unreadable) {
            error(ResultCode.COMMAND_FAILED, unreadable.toString());
            return NOT_FOUND;
        }
    }

    private void progress(Path file) {
        if (progress) {
            spec.commandLine().getErr().println("reading " + file);
        }
    }

    private void noteBroken(LogFiles files) {
        if (files.broken() > 0) {
            spec.commandLine().getErr().printf("%d of %d lines could not be decoded%n", files.broken(), files.lines());
        }
    }

    private int losses(LogFiles files, PrintWriter out) throws IOException {
        LossReport report = LossReport.read(files);
        if (json) {
            out.println(report.json());
        } else {
            report.print(out);
        }
        return DONE;
    }

    private int story(LogFiles files, PrintWriter out) throws IOException {
        Optional<RequestStory> story = RequestStory.read(id, files);
        if (story.isEmpty()) {
            error(ResultCode.COMMAND_FAILED, "no log line has the id " + id);
            return NOT_FOUND;
        }
        if (json) {
            out.println(json(story.get()));
        } else {
            story.get().print(out);
        }
        return DONE;
    }

    private static ObjectNode json(RequestStory story) {
        ObjectNode root = Json.object()
                .put("request", story.asked().text("request"))
                .put("cause", FailureCause.sentence(story.asked()));
        ArrayNode requests = root.putArray("requests");
        story.requests().forEach(line -> requests.add(line.fields()));
        ArrayNode beliefs = root.putArray("beliefs");
        story.beliefs().forEach(line -> beliefs.add(line.fields()));
        return root;
    }

    private void error(ResultCode code, String message) {
        spec.commandLine().getErr().printf("%d %s: %s%n", code.number(), code.meaning(), message);
    }
}
