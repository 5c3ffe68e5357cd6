package org.quetzalshunt.app.explain;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintWriter;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.wire.json.Json;

/**
 * Counts late, refused and failed requests by reason, kind, data centre, account and time, and programs whose last
 * request was not served or ended after the program's objective. Memory is bounded by the number of values of each
 * dimension and of tracked programs, not by the length of the logs.
 */
final class LossReport {
    /** Attributes by which lost requests are counted, in the order of the printed tables. */
    enum Dimension {
        REASON,
        KIND,
        DATA_CENTRE,
        ACCOUNT,
        TIME
    }

    private static final long TIME_SLICE_MILLIS = 2_000;
    private static final int MAXIMUM_TRACKED_PROGRAMS = 50_000;
    private static final int MAXIMUM_ROWS_PRINTED = 20;

    /** State of a program after the last of its requests read so far. */
    private record ProgramState(String route, String reason, boolean lost) {}

    private final Map<Dimension, LossTable> requests = new EnumMap<>(Dimension.class);
    private final LossTable programs = new LossTable();
    private final Map<String, String> dataCentres = new HashMap<>();
    private final LinkedHashMap<String, ProgramState> trackedPrograms = new LinkedHashMap<>();
    private long firstStartMillis = Long.MAX_VALUE;

    private LossReport() {
        for (Dimension dimension : Dimension.values()) {
            requests.put(dimension, new LossTable());
        }
    }

    /**
     * Reads the logs twice: first for the data centre of each VM and the earliest start, then for the requests.
     *
     * @throws IOException if a log cannot be read
     */
    static LossReport read(LogFiles files) throws IOException {
        LossReport report = new LossReport();
        files.read(text -> text.contains("\"event\":\"start\""), report::addStart);
        files.read(text -> true, report::addRequest);
        report.trackedPrograms.values().forEach(report::countProgram);
        return report;
    }

    private void addStart(LogLine line) {
        if (line.event().equals("start")) {
            dataCentres.put(line.vm(), line.text("dataCentre"));
            firstStartMillis = Math.min(firstStartMillis, line.timeMillis());
        }
    }

    private void addRequest(LogLine line) {
        if (!line.endsRequest()) {
            return;
        }
        Outcome outcome = Outcome.of(line);
        requests.get(Dimension.REASON).add(FailureCause.reason(line), outcome);
        requests.get(Dimension.KIND).add(orUnknown(line.text("route")), outcome);
        requests.get(Dimension.DATA_CENTRE).add(dataCentres.getOrDefault(line.vm(), "unknown"), outcome);
        requests.get(Dimension.ACCOUNT).add(orUnknown(line.text("account")), outcome);
        long slice = Math.max(0, line.timeMillis() - firstStartMillis) / TIME_SLICE_MILLIS * TIME_SLICE_MILLIS;
        requests.get(Dimension.TIME).add(String.format(Locale.ROOT, "%7.0f s", slice / 1_000.0), outcome);
        addToProgram(line, outcome);
    }

    private static String orUnknown(String text) {
        return text.isEmpty() ? "unknown" : text;
    }

    private void addToProgram(LogLine line, Outcome outcome) {
        String program = line.text("program");
        if (program.isEmpty()) {
            return;
        }
        boolean late = line.number("programLeftMillis").orElse(0) < 0;
        boolean lost = late || outcome == Outcome.REFUSED || outcome == Outcome.FAILED;
        String reason = line.code() == ResultCode.OK && late ? "program late" : FailureCause.reason(line);
        trackedPrograms.remove(program);
        trackedPrograms.put(program, new ProgramState(line.text("route"), reason, lost));
        if (trackedPrograms.size() > MAXIMUM_TRACKED_PROGRAMS) {
            String oldest = trackedPrograms.keySet().iterator().next();
            countProgram(trackedPrograms.remove(oldest));
        }
    }

    private void countProgram(ProgramState state) {
        programs.add(state.lost() ? state.reason() : "in time", state.lost() ? Outcome.FAILED : Outcome.SERVED);
    }

    /** Prints the tables as text. */
    void print(PrintWriter out) {
        requests.forEach((dimension, table) -> {
            out.printf("%-52s %8s %8s %8s %8s%n", "requests by " + name(dimension), "all", "late", "refused", "failed");
            table.largestLosses(MAXIMUM_ROWS_PRINTED)
                    .forEach((value, row) -> out.printf(
                            "  %-50s %8d %8d %8d %8d%n", value, row.all(), row.late(), row.refused(), row.failed()));
            out.println();
        });
        out.println("programs by the end of their last request, where it was not served or past the objective");
        programs.largestLosses(MAXIMUM_ROWS_PRINTED)
                .forEach((reason, row) -> out.printf("  %-50s %8d%n", reason, row.lost()));
        out.flush();
    }

    private static String name(Dimension dimension) {
        return dimension.name().toLowerCase(Locale.ROOT).replace('_', ' ');
    }

    /** The tables as one JSON object. */
    ObjectNode json() {
        ObjectNode root = Json.object();
        requests.forEach((dimension, table) -> addRows(root.putObject(name(dimension)), table));
        addRows(root.putObject("programs"), programs);
        return root;
    }

    private static void addRows(ObjectNode target, LossTable table) {
        table.largestLosses(Integer.MAX_VALUE).forEach((value, row) -> target.putObject(value)
                .put("all", row.all())
                .put("late", row.late())
                .put("refused", row.refused())
                .put("failed", row.failed()));
    }
}
