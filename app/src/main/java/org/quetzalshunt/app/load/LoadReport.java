package org.quetzalshunt.app.load;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Formats results as a self-contained HTML page that plots the latency percentiles of each account. */
final class LoadReport {
    private static final int WIDTH = 640;
    private static final int HEIGHT = 260;
    private static final int MARGIN = 50;
    private static final double MICROS_PER_MILLI = 1_000.0;
    private static final double AXIS_MINIMUM_MILLIS = 0.1;
    private static final String[] COLOURS = {
        "#1f77b4", "#d62728", "#2ca02c", "#9467bd", "#ff7f0e", "#8c564b", "#17becf", "#7f7f7f"
    };

    private LoadReport() {}

    static String html(JsonNode result) {
        StringBuilder page = new StringBuilder(
                        "<!doctype html><meta charset=\"utf-8\"><title>quetzalshunt load</title>")
                .append("<body style=\"font-family:sans-serif\"><h1>quetzalshunt load</h1><p>")
                .append(escape(result.path("plan").toString()))
                .append("</p>");
        page.append(plot("Whole program", result, "programMicros"));
        page.append(plot("Time to first token", result, "firstTokenMicros"));
        page.append(plot("Between tokens", result, "betweenTokensMicros"));
        page.append("<h2>Counts</h2><pre>");
        result.path("accounts").fields().forEachRemaining(account -> page.append(
                        escape(counts(account.getKey(), account.getValue())))
                .append('\n'));
        return page.append("</pre></body>").toString();
    }

    private static String counts(String name, JsonNode account) {
        return String.format(
                "%-20s started %d, finished %d, failed %d, cut %d, wrong %d, refusals %s",
                name,
                account.path("started").asInt(),
                account.path("finished").asInt(),
                account.path("failed").asInt(),
                account.path("cutAnswers").asInt(),
                account.path("wrongAnswers").asInt(),
                account.path("refusals"));
    }

    private static String plot(String title, JsonNode result, String measure) {
        double highest =
                Math.max(1, result.path("all").path(measure).path("max").asLong() / MICROS_PER_MILLI);
        StringBuilder svg = new StringBuilder(String.format(
                "<h2>%s (ms, by percentile)</h2><svg width=\"%d\" height=\"%d\" font-size=\"11\">",
                title, WIDTH + 160, HEIGHT + MARGIN));
        for (double millis = AXIS_MINIMUM_MILLIS; millis <= highest * 10; millis *= 10) {
            double y = Math.max(0, y(millis, highest));
            svg.append(String.format(
                    Locale.ROOT,
                    "<line x1=\"%d\" x2=\"%d\" y1=\"%.1f\" y2=\"%.1f\" stroke=\"#ddd\"/><text x=\"2\" y=\"%.1f\">%s</text>",
                    MARGIN,
                    WIDTH,
                    y,
                    y,
                    y + 4,
                    millis));
        }
        for (int i = 0; i < Percentiles.REPORTED.length; i++) {
            svg.append(String.format(
                    Locale.ROOT,
                    "<text x=\"%.1f\" y=\"%d\">%s</text>",
                    x(i),
                    HEIGHT + 20,
                    Percentiles.name(Percentiles.REPORTED[i])));
        }
        List<String> names = new ArrayList<>();
        result.path("accounts").fieldNames().forEachRemaining(names::add);
        for (int i = 0; i < names.size(); i++) {
            svg.append(polyline(
                    names.get(i), i, result.path("accounts").path(names.get(i)).path(measure), highest));
        }
        return svg.append("</svg>").toString();
    }

    private static String polyline(String name, int index, JsonNode percentiles, double highest) {
        String colour = COLOURS[index % COLOURS.length];
        StringBuilder points = new StringBuilder();
        for (int i = 0; i < Percentiles.REPORTED.length; i++) {
            double millis =
                    percentiles.path(Percentiles.name(Percentiles.REPORTED[i])).asLong() / MICROS_PER_MILLI;
            points.append(String.format(Locale.ROOT, "%.1f,%.1f ", x(i), y(millis, highest)));
        }
        return String.format(
                "<polyline fill=\"none\" stroke=\"%s\" points=\"%s\"/><text x=\"%d\" y=\"%d\" fill=\"%s\">%s</text>",
                colour, points, WIDTH + 8, 20 + 16 * index, colour, escape(name));
    }

    private static double x(int percentileIndex) {
        return MARGIN + percentileIndex * (WIDTH - MARGIN - 30.0) / (Percentiles.REPORTED.length - 1);
    }

    /** Logarithmic scale, because tail latencies are many times the median. */
    private static double y(double millis, double highest) {
        double span = Math.log10(highest / AXIS_MINIMUM_MILLIS);
        double share = Math.log10(Math.max(AXIS_MINIMUM_MILLIS, millis) / AXIS_MINIMUM_MILLIS) / span;
        return HEIGHT - share * (HEIGHT - 10);
    }

    private static String escape(String text) {
        return text.replace("&", "&amp;").replace("<", "&lt;").replace(">", "&gt;");
    }
}
