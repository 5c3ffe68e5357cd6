package org.quetzalshunt.app.bench;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.util.ArrayList;
import java.util.DoubleSummaryStatistics;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.function.ToDoubleFunction;
import org.quetzalshunt.app.bench.scenario.Measures;
import org.quetzalshunt.app.bench.scenario.Scenario;
import org.quetzalshunt.app.bench.scenario.ScenarioResults;
import org.quetzalshunt.app.bench.scenario.Scenarios;
import org.quetzalshunt.app.bench.scenario.Target;
import org.quetzalshunt.app.bench.scenario.Targets;
import org.quetzalshunt.wire.json.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Compares the standard scheduling policy with baseline policies under load scenarios in virtual time. */
@Command(
        name = "decisions",
        mixinStandardHelpOptions = true,
        description = "Runs load scenarios in virtual time under the standard policy and plain baselines.")
public final class DecisionsCommand implements Callable<Integer> {
    private static final Map<String, ToDoubleFunction<Measures>> COLUMNS = columns();

    @Option(names = "--play", description = "Name of one play, a load scenario (default: all).")
    private String play;

    @Option(names = "--seed", defaultValue = "1", description = "First seed (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--seeds", defaultValue = "5", description = "Number of seeds (default: ${DEFAULT-VALUE}).")
    private int seeds;

    @Option(names = "--json", description = "Prints JSON in place of tables.")
    private boolean json;

    @Spec
    private CommandSpec spec;

    private static Map<String, ToDoubleFunction<Measures>> columns() {
        Map<String, ToDoubleFunction<Measures>> columns = new LinkedHashMap<>();
        columns.put("p50 s", measures -> measures.p50Millis() / 1_000);
        columns.put("p95 s", measures -> measures.p95Millis() / 1_000);
        columns.put("p99 s", measures -> measures.p99Millis() / 1_000);
        columns.put("done p95 s", measures -> measures.completedP95Millis() / 1_000);
        columns.put("abandoned", measures -> (double) measures.abandoned() / Math.max(1, measures.programs()));
        columns.put("again Mtok", measures -> measures.recomputedTokens() / 1e6);
        columns.put("worst share", Measures::worstShare);
        columns.put("worst p95 s", measures -> measures.worstP95Millis() / 1_000);
        columns.put("in rate p95 s", measures -> measures.withinRateP95Millis() / 1_000);
        columns.put("refused", Measures::refusalsWithinRate);
        columns.put("goodput", Measures::goodput);
        columns.put("busy", Measures::utilisation);
        return columns;
    }

    @Override
    public Integer call() {
        List<ScenarioResults> tables = new ArrayList<>();
        List<Target> targets = new ArrayList<>();
        for (Scenario selected : selectedScenarios()) {
            ScenarioResults table = ScenarioResults.measure(selected, ScenarioResults.policies(), seedList());
            tables.add(table);
            targets.addAll(Targets.of(table, seedList()));
            if (!json) {
                print(table);
            }
        }
        if (play == null) {
            targets.add(Targets.decisionCost(seed));
        }
        if (json) {
            spec.commandLine().getOut().println(Json.pretty(toJson(tables, targets)));
        } else {
            printTargets(targets);
        }
        return 0;
    }

    private List<Scenario> selectedScenarios() {
        if (play == null) {
            return Scenarios.all();
        }
        return List.of(Scenarios.find(play)
                .orElseThrow(() -> new ParameterException(
                        spec.commandLine(),
                        "unknown play " + play + "; available: "
                                + Scenarios.all().stream().map(Scenario::name).toList())));
    }

    private List<Long> seedList() {
        List<Long> list = new ArrayList<>();
        for (int number = 0; number < seeds; number++) {
            list.add(seed + number);
        }
        return list;
    }

    private void print(ScenarioResults table) {
        PrintWriter out = spec.commandLine().getOut();
        out.println();
        out.println(table.scenario().name() + ": " + table.scenario().description() + "; mean (least to most) of "
                + seeds + " seeds from " + seed);
        StringBuilder header = new StringBuilder(String.format(Locale.ROOT, "%-14s", "policy"));
        COLUMNS.keySet().forEach(column -> header.append(String.format(Locale.ROOT, "%21s", column)));
        out.println(header);
        for (String name : table.policyNames()) {
            StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-14s", name));
            COLUMNS.values()
                    .forEach(measure ->
                            line.append(String.format(Locale.ROOT, "%21s", cell(table.statistics(name, measure)))));
            out.println(line);
        }
        out.flush();
    }

    private void printTargets(List<Target> targets) {
        PrintWriter out = spec.commandLine().getOut();
        out.println();
        for (Target target : targets) {
            out.println(String.format(
                    Locale.ROOT,
                    "%-11s %s: %.3f (%s %.2f)",
                    target.isReached() ? "reached" : "NOT REACHED",
                    target.name(),
                    target.measured(),
                    target.atMost() ? "at most" : "at least",
                    target.bound()));
        }
        out.flush();
    }

    private static String cell(DoubleSummaryStatistics spread) {
        return String.format(Locale.ROOT, "%.2f (%.2f-%.2f)", spread.getAverage(), spread.getMin(), spread.getMax());
    }

    private static ObjectNode toJson(List<ScenarioResults> tables, List<Target> targets) {
        ObjectNode root = Json.object();
        ArrayNode scenarios = root.putArray("plays");
        for (ScenarioResults table : tables) {
            ObjectNode node = scenarios.addObject().put("play", table.scenario().name());
            for (String name : table.policyNames()) {
                ObjectNode policy = node.putObject(name);
                COLUMNS.forEach((column, measure) -> {
                    DoubleSummaryStatistics spread = table.statistics(name, measure);
                    policy.putObject(column)
                            .put("mean", spread.getAverage())
                            .put("least", spread.getMin())
                            .put("most", spread.getMax());
                });
            }
        }
        ArrayNode list = root.putArray("targets");
        for (Target target : targets) {
            list.addObject()
                    .put("name", target.name())
                    .put("measured", target.measured())
                    .put("bound", target.bound())
                    .put("atMost", target.atMost())
                    .put("reached", target.isReached());
        }
        return root;
    }
}
