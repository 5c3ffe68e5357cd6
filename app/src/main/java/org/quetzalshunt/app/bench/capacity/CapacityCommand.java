package org.quetzalshunt.app.bench.capacity;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import org.quetzalshunt.wire.json.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** {@code quetzalshunt bench capacity}: measures the cost slopes used in docs/CAPACITY.md. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Measures the cost of programs, accounts, records and nodes, each at three sizes or more.")
public final class CapacityCommand implements Callable<Integer> {
    private static final List<Integer> ENTRY_COUNTS = List.of(3, 33, 110, 330);
    private static final List<Integer> ACCOUNT_COUNTS = List.of(50, 100, 200, 400);
    private static final int TURN_BYTES = 4_000;

    @Spec
    private CommandSpec spec;

    @Option(names = "--json", description = "print JSON in place of a table")
    private boolean json;

    /** Constructor for picocli. */
    public CapacityCommand() {}

    @Override
    public Integer call() {
        List<ScalingSeries> series = measureAll();
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            ObjectNode root = Json.object();
            ArrayNode array = root.putArray("slopes");
            series.forEach(measured -> array.add(measured.json()));
            out.println(root);
        } else {
            series.forEach(measured -> printSeries(out, measured));
        }
        out.flush();
        return 0;
    }

    private static List<ScalingSeries> measureAll() {
        List<ScalingSeries> series = new ArrayList<>();
        series.add(ProgramCosts.heapByPrograms(List.of(500, 1_000, 2_000, 4_000), 2, TURN_BYTES));
        series.add(ProgramCosts.heapByHistory(100, List.of(10, 50, 100, 150), TURN_BYTES));
        series.add(ProgramCosts.recordByTurn(List.of(1_000, 4_000, 16_000)));
        series.add(ProgramCosts.timeByTurns(List.of(2_000, 4_000, 8_000, 16_000), TURN_BYTES));
        series.add(LogCosts.appendsByRecords(List.of(1, 10, 100, 1_000)));
        series.add(MembershipCosts.octetsByEntries(ENTRY_COUNTS));
        series.add(MembershipCosts.timeByEntries(ENTRY_COUNTS));
        series.add(ConfigurationCosts.heapByAccounts(ACCOUNT_COUNTS));
        series.add(ConfigurationCosts.timeByAccounts(ACCOUNT_COUNTS));
        series.add(ConfigurationCosts.octetsByAccounts(ACCOUNT_COUNTS));
        series.add(MessageCosts.octetsByChunk(List.of(16, 64, 256)));
        series.add(MessageCosts.octetsOfReports(List.of(1, 10, 100)));
        return series;
    }

    private static void printSeries(PrintWriter out, ScalingSeries measured) {
        out.println(measured.name());
        measured.points()
                .forEach(point -> out.printf(
                        "  %12.0f %-18s %16.2f %s%n",
                        point.size(), measured.sizeName(), point.value(), measured.unit()));
        out.printf("  slope: %.4f %s for one of %s%n", measured.slope(), measured.unit(), measured.sizeName());
    }
}
