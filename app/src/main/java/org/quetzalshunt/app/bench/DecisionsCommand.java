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
import org.quetzalshunt.app.bench.play.Measures;
import org.quetzalshunt.app.bench.play.Play;
import org.quetzalshunt.app.bench.play.PlayTable;
import org.quetzalshunt.app.bench.play.Plays;
import org.quetzalshunt.app.bench.play.Target;
import org.quetzalshunt.app.bench.play.Targets;
import org.quetzalshunt.wire.json.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/** Measures the decisions under load against plain baselines, in virtual time. */
@Command(
        name = "decisions",
        mixinStandardHelpOptions = true,
        description = "Plays patterns of load in virtual time under our policy and plain baselines.")
public final class DecisionsCommand implements Callable<Integer> {
    private static final Map<String, ToDoubleFunction<Measures>> COLUMNS = columns();

    @Option(names = "--play", description = "Name of one play; all when left out.")
    private String play;

    @Option(names = "--seed", defaultValue = "1", description = "First of the seeds (default: ${DEFAULT-VALUE}).")
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
        List<PlayTable> tables = new ArrayList<>();
        List<Target> targets = new ArrayList<>();
        for (Play chosen : chosenPlays()) {
            PlayTable table = PlayTable.measure(chosen, PlayTable.policies(), seedList());
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

    private List<Play> chosenPlays() {
        if (play == null) {
            return Plays.all();
        }
        return List.of(Plays.find(play)
                .orElseThrow(() -> new ParameterException(
                        spec.commandLine(),
                        "no play " + play + "; there are "
                                + Plays.all().stream().map(Play::name).toList())));
    }

    private List<Long> seedList() {
        List<Long> list = new ArrayList<>();
        for (int number = 0; number < seeds; number++) {
            list.add(seed + number);
        }
        return list;
    }

    private void print(PlayTable table) {
        PrintWriter out = spec.commandLine().getOut();
        out.println();
        out.println(table.play().name() + ": " + table.play().story() + "; mean (least to most) of " + seeds
                + " seeds from " + seed);
        StringBuilder header = new StringBuilder(String.format(Locale.ROOT, "%-14s", "policy"));
        COLUMNS.keySet().forEach(column -> header.append(String.format(Locale.ROOT, "%21s", column)));
        out.println(header);
        for (String name : table.names()) {
            StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "%-14s", name));
            COLUMNS.values()
                    .forEach(measure ->
                            line.append(String.format(Locale.ROOT, "%21s", cell(table.spread(name, measure)))));
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
                    target.reached() ? "reached" : "NOT REACHED",
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

    private static ObjectNode toJson(List<PlayTable> tables, List<Target> targets) {
        ObjectNode root = Json.object();
        ArrayNode plays = root.putArray("plays");
        for (PlayTable table : tables) {
            ObjectNode node = plays.addObject().put("play", table.play().name());
            for (String name : table.names()) {
                ObjectNode policy = node.putObject(name);
                COLUMNS.forEach((column, measure) -> {
                    DoubleSummaryStatistics spread = table.spread(name, measure);
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
                    .put("reached", target.reached());
        }
        return root;
    }
}
