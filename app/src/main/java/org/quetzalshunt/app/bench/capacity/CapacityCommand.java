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

/** {@code quetzalshunt bench capacity}: the slopes behind docs/CAPACITY.md. */
@Command(
        name = "capacity",
        mixinStandardHelpOptions = true,
        description = "Measures what programs, accounts, records and nodes cost, at three sizes or more each.")
public final class CapacityCommand implements Callable<Integer> {
    private static final List<Integer> NODES = List.of(3, 33, 110, 330);
    private static final List<Integer> ACCOUNTS = List.of(50, 100, 200, 400);
    private static final int TURN_BYTES = 4_000;

    @Spec
    private CommandSpec spec;

    @Option(names = "--json", description = "print JSON in place of a table")
    private boolean json;

    /** Made by picocli. */
    public CapacityCommand() {}

    @Override
    public Integer call() {
        List<Slope> slopes = measure();
        PrintWriter out = spec.commandLine().getOut();
        if (json) {
            ObjectNode root = Json.object();
            ArrayNode array = root.putArray("slopes");
            slopes.forEach(slope -> array.add(slope.json()));
            out.println(root);
        } else {
            slopes.forEach(slope -> print(out, slope));
        }
        out.flush();
        return 0;
    }

    private static List<Slope> measure() {
        List<Slope> slopes = new ArrayList<>();
        slopes.add(ProgramCosts.heapByPrograms(List.of(500, 1_000, 2_000, 4_000), 2, TURN_BYTES));
        slopes.add(ProgramCosts.heapByHistory(100, List.of(10, 50, 100, 150), TURN_BYTES));
        slopes.add(ProgramCosts.recordByTurn(List.of(1_000, 4_000, 16_000)));
        slopes.add(ProgramCosts.timeByTurns(List.of(2_000, 4_000, 8_000, 16_000), TURN_BYTES));
        slopes.add(LogCosts.appendsByRecords(List.of(1, 10, 100, 1_000)));
        slopes.add(MembershipCosts.octetsByEntries(NODES));
        slopes.add(MembershipCosts.timeByEntries(NODES));
        slopes.add(ConfigurationCosts.heapByAccounts(ACCOUNTS));
        slopes.add(ConfigurationCosts.timeByAccounts(ACCOUNTS));
        slopes.add(ConfigurationCosts.octetsByAccounts(ACCOUNTS));
        slopes.add(MessageCosts.octetsByChunk(List.of(16, 64, 256)));
        slopes.add(MessageCosts.reports(List.of(1, 10, 100)));
        return slopes;
    }

    private static void print(PrintWriter out, Slope slope) {
        out.println(slope.name());
        slope.points()
                .forEach(point -> out.printf(
                        "  %12.0f %-18s %16.2f %s%n", point.size(), slope.size(), point.value(), slope.unit()));
        out.printf("  slope: %.4f %s for one of %s%n", slope.slope(), slope.unit(), slope.size());
    }
}
