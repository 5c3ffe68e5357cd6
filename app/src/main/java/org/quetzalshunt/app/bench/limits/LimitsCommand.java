package org.quetzalshunt.app.bench.limits;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Callable;
import org.quetzalshunt.app.bench.limits.LimitPlay.LimiterFactory;
import org.quetzalshunt.wire.json.Json;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Compares the ways to hold accounts to their limits, and measures what the limits and the heartbeats cost. */
@Command(
        name = "limits",
        mixinStandardHelpOptions = true,
        description = "Plays traffic against four kinds of fleet-wide limits in virtual time, and measures their cost.")
public final class LimitsCommand implements Callable<Integer> {
    private static final double RATE = 100;
    private static final double BURST = 50;
    private static final List<Integer> PLAYED_SIZES = List.of(3, 12);
    private static final List<Integer> SIZES = List.of(3, 12, 48, 330);
    private static final List<Integer> ACCOUNTS = List.of(50, 200, 800);
    private static final int ACCOUNTS_AT_ALL_SIZES = 200;
    private static final int ENTRIES_AT_ALL_ACCOUNTS = 12;

    @Option(names = "--seed", defaultValue = "1", description = "Seed of every choice (default: ${DEFAULT-VALUE}).")
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
        ObjectNode plays = root.putObject("plays");
        line(
                "%-10s %7s %-12s %10s %10s %10s %10s %10s",
                "play", "entries", "way", "overshoot", "wrong %", "admitted %", "messages/s", "bytes/s");
        for (LimitPlay play : LimitPlay.all()) {
            for (int entries : PLAYED_SIZES) {
                compare(play, entries, plays.putObject(play.name() + ", " + entries + " entries"));
            }
        }
        line("%nlimits of one entry: %s", "accounts at a fifth of their rate at entries by chance, and idle");
        line(
                "%8s %8s %10s %12s %10s %14s",
                "entries", "accounts", "requests/s", "messages/s", "bytes/s", "processor ms/s");
        costs().forEach(means -> cost(means, root.withArray("limits").addObject()));
        line("%nheartbeats of one entry%s", "");
        line("%8s %12s %10s %14s %16s", "entries", "messages/s", "bytes/s", "falsely dead %", "all know after ms");
        SIZES.forEach(entries -> heartbeats(
                HeartbeatTraffic.measure(entries, seed),
                root.withArray("heartbeats").addObject()));
        if (json) {
            spec.commandLine().getOut().println(Json.pretty(root));
        }
        return 0;
    }

    private void compare(LimitPlay play, int entries, ObjectNode node) {
        limiters().forEach((name, factory) -> {
            LimitPlay.Result result = play.play(factory, new Limiter.Shape(entries, 1, RATE, BURST, seed));
            line(
                    "%-10s %7d %-12s %10.2f %10.3f %10.2f %10.1f %10.0f",
                    play.name(),
                    entries,
                    name,
                    result.overshoot(),
                    result.wronglyRefused() * 100,
                    result.admittedShare() * 100,
                    result.messagesPerSecond(),
                    result.bytesPerSecond());
            node.putObject(name)
                    .put("overshootTokens", result.overshoot())
                    .put("wronglyRefusedShare", result.wronglyRefused())
                    .put("admittedShare", result.admittedShare())
                    .put("messagesPerSecond", result.messagesPerSecond())
                    .put("bytesPerSecond", result.bytesPerSecond());
        });
    }

    private List<ControlTraffic.Means> costs() {
        List<ControlTraffic.Means> all = new ArrayList<>();
        for (boolean idle : new boolean[] {false, true}) {
            SIZES.forEach(entries -> all.add(ControlTraffic.measure(entries, ACCOUNTS_AT_ALL_SIZES, idle, seed)));
        }
        ACCOUNTS.forEach(accounts -> all.add(ControlTraffic.measure(ENTRIES_AT_ALL_ACCOUNTS, accounts, false, seed)));
        return all;
    }

    private void cost(ControlTraffic.Means means, ObjectNode node) {
        line(
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

    private void heartbeats(HeartbeatTraffic.Means means, ObjectNode node) {
        line(
                "%8d %12.1f %10.0f %14.4f %16d",
                means.entries(),
                means.messagesPerSecond(),
                means.bytesPerSecond(),
                means.falselyDeadShare() * 100,
                means.lastKnowsAfterMillis());
        node.put("entries", means.entries())
                .put("messagesPerSecondPerEntry", means.messagesPerSecond())
                .put("bytesPerSecondPerEntry", means.bytesPerSecond())
                .put("falselyDeadShare", means.falselyDeadShare())
                .put("allKnowAfterMillis", means.lastKnowsAfterMillis());
    }

    private void line(String format, Object... values) {
        if (!json) {
            spec.commandLine().getOut().println(String.format(Locale.ROOT, format, values));
            spec.commandLine().getOut().flush();
        }
    }
}
