package org.quetzalshunt.app.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Locale;

/** Formats two results side by side: counts, then percentiles of each latency, each with its ratio. */
final class LoadComparison {
    private static final List<String> COUNTS =
            List.of("started", "finished", "failed", "unfinished", "cutAnswers", "wrongAnswers", "shortenedAnswers");
    private static final List<String> MEASURES = List.of("programMicros", "firstTokenMicros", "betweenTokensMicros");
    private static final List<String> STATISTICS = List.of("p50", "p90", "p99", "max");
    private static final double MICROS_PER_MILLI = 1_000.0;

    private LoadComparison() {}

    static String text(JsonNode first, JsonNode second) {
        StringBuilder text = new StringBuilder(String.format("%-28s %12s %12s %8s%n", "", "A", "B", "B/A"));
        for (String count : COUNTS) {
            text.append(row(
                    count,
                    first.at("/all/" + count).asDouble(),
                    second.at("/all/" + count).asDouble()));
        }
        for (String measure : MEASURES) {
            for (String statistic : STATISTICS) {
                String pointer = "/all/" + measure + "/" + statistic;
                text.append(row(
                        measure.replace("Micros", "") + " " + statistic + " ms",
                        first.at(pointer).asDouble() / MICROS_PER_MILLI,
                        second.at(pointer).asDouble() / MICROS_PER_MILLI));
            }
        }
        text.append(row("worst account p99 ms", worstAccountMillis(first), worstAccountMillis(second)));
        text.append("refusals by code: A ").append(first.at("/all/refusals"));
        return text.append(", B ")
                .append(second.at("/all/refusals"))
                .append('\n')
                .toString();
    }

    private static double worstAccountMillis(JsonNode result) {
        double worst = 0;
        for (JsonNode account : result.path("accounts")) {
            worst = Math.max(worst, account.at("/programMicros/p99").asDouble() / MICROS_PER_MILLI);
        }
        return worst;
    }

    private static String row(String name, double first, double second) {
        String ratio = first == 0 ? "-" : String.format(Locale.ROOT, "%.2f", second / first);
        return String.format(Locale.ROOT, "%-28s %12.1f %12.1f %8s%n", name, first, second, ratio);
    }
}
