package org.quetzalshunt.app.bench.limits;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.quetzalshunt.app.bench.limits.LimitScenario.LimiterFactory;
import org.quetzalshunt.wire.json.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Compares limiters for fleet-wide account limits, and measures the traffic of the limiter and of heartbeats. */
@Command(
        name = "limits",
        mixinStandardHelpOptions = true,
        description =
                "Compares four kinds of fleet-wide limits under simulated traffic in virtual time, and measures their cost.")
public final class LimitsCommand implements Callable<Integer> {
    private static final double RATE = 100;
    private static final double BURST = 50;
    private static final List<Integer> COMPARED_ENTRY_COUNTS = List.of(3, 12);
    private static final List<Integer> ENTRY_COUNTS = List.of(3, 12, 48, 330);
    private static final List<Integer> ACCOUNT_COUNTS = List.of(50, 200, 800);
    private static final int ACCOUNTS_FOR_ALL_ENTRY_COUNTS = 200;
    private static final int ENTRIES_FOR_ALL_ACCOUNT_COUNTS = 12;

    @Option(
            names = "--seed",
            defaultValue = "1",
            description = "Seed of all random choices (default: ${DEFAULT-VALUE}).")
    private long seed;

    @Option(names = "--json", description = "Prints JSON in place of tables.")
    private boolean json;

    @Spec
    private CommandSpec spec;

    private static Map<String, LimiterFactory> limiters() {
        Map<String, LimiterFactory> limiters = new LinkedHashMap<>();
        limiters.put("fixed share", FixedShareLimiter::new);
        limiters.put("one grantor", GrantorLimiter::new);
        limiters.put("gossip", GossipLimiter::new);
        limiters.put("escrow", EscrowLimiter::new);
        return limiters;
    }

    @Override
    public Integer call() {
        ObjectNode root = Json.object();
        ObjectNode scenarios = root.putObject("plays");
        printLine(
                "%-10s %7s %-12s %10s %10s %10s %10s %10s",
                "play", "entries", "way", "overshoot", "wrong %", "admitted %", "messages/s", "bytes/s");
        for (LimitScenario scenario : LimitScenario.all()) {
            for (int entries : COMPARED_ENTRY_COUNTS) {
                compareLimiters(scenario, entries, scenarios.putObject(scenario.name() + ", " + entries + " entries"));
            }
        }
        printLine("%nlimits of one entry: %s", "accounts at a fifth of their rate at random entries, and idle");
        printLine(
                "%8s %8s %10s %12s %10s %14s",
                "entries", "accounts", "requests/s", "messages/s", "bytes/s", "processor ms/s");
        measureLimiterTraffic()
                .forEach(means ->
                        printLimiterTraffic(means, root.withArray("limits").addObject()));
        printLine("%nheartbeats of one entry%s", "");
        printLine("%8s %12s %10s %14s %16s", "entries", "messages/s", "bytes/s", "falsely dead %", "all know after ms");
        ENTRY_COUNTS.forEach(entries -> printHeartbeatTraffic(
                HeartbeatTraffic.measure(entries, seed),
                root.withArray("heartbeats").addObject()));
        if (json) {
            spec.commandLine().getOut().println(Json.pretty(root));
        }
        return 0;
    }

    private void compareLimiters(LimitScenario scenario, int entries, ObjectNode node) {
        limiters().forEach((name, factory) -> {
            LimitScenario.Result result = scenario.run(factory, new Limiter.Parameters(entries, 1, RATE, BURST, seed));
            printLine(
                    "%-10s %7d %-12s %10.2f %10.3f %10.2f %10.1f %10.0f",
                    scenario.name(),
                    entries,
                    name,
                    result.overshoot(),
                    result.wronglyRefusedShare() * 100,
                    result.admittedShare() * 100,
                    result.messagesPerSecond(),
                    result.bytesPerSecond());
            node.putObject(name)
                    .put("overshootTokens", result.overshoot())
                    .put("wronglyRefusedShare", result.wronglyRefusedShare())
                    .put("admittedShare", result.admittedShare())
                    .put("messagesPerSecond", result.messagesPerSecond())
                    .put("bytesPerSecond", result.bytesPerSecond());
        });
    }

    private List<LimiterTraffic.EntryMeans> measureLimiterTraffic() {
        List<LimiterTraffic.EntryMeans> all = new ArrayList<>();
        for (boolean idle : new boolean[] {false, true}) {
            ENTRY_COUNTS.forEach(
                    entries -> all.add(LimiterTraffic.measure(entries, ACCOUNTS_FOR_ALL_ENTRY_COUNTS, idle, seed)));
        }
        ACCOUNT_COUNTS.forEach(
                accounts -> all.add(LimiterTraffic.measure(ENTRIES_FOR_ALL_ACCOUNT_COUNTS, accounts, false, seed)));
        return all;
    }

    private void printLimiterTraffic(LimiterTraffic.EntryMeans means, ObjectNode node) {
        printLine(
                "%8d %8d %10.0f %12.1f %10.0f %14.3f",
                means.entries(),
                means.accounts(),
                means.requestsPerSecond(),
                means.messagesPerSecond(),
                means.bytesPerSecond(),
                means.processorMillisPerSecond());
        node.put("entries", means.entries())
                .put("accounts", means.accounts())
                .put("requestsPerSecond", means.requestsPerSecond())
                .put("messagesPerSecondPerEntry", means.messagesPerSecond())
                .put("bytesPerSecondPerEntry", means.bytesPerSecond())
                .put("processorMillisPerSecondPerEntry", means.processorMillisPerSecond());
    }

    private void printHeartbeatTraffic(HeartbeatTraffic.EntryMeans means, ObjectNode node) {
        printLine(
                "%8d %12.1f %10.0f %14.4f %16d",
                means.entries(),
                means.messagesPerSecond(),
                means.bytesPerSecond(),
                means.falselyDeadShare() * 100,
                means.allDetectedAfterMillis());
        node.put("entries", means.entries())
                .put("messagesPerSecondPerEntry", means.messagesPerSecond())
                .put("bytesPerSecondPerEntry", means.bytesPerSecond())
                .put("falselyDeadShare", means.falselyDeadShare())
                .put("allKnowAfterMillis", means.allDetectedAfterMillis());
    }

    private void printLine(String format, Object... values) {
        if (!json) {
            spec.commandLine().getOut().println(String.format(Locale.ROOT, format, values));
            spec.commandLine().getOut().flush();
        }
    }
}
