package org.quetzalshunt.app.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.HdrHistogram.Histogram;
import org.quetzalshunt.wire.json.Json;

/** Statistics of a histogram as JSON: {@code count}, {@code mean}, {@code max} and {@code p10} to {@code p99.9}. */
final class Percentiles {
    static final double[] REPORTED = {10, 25, 50, 75, 90, 95, 99, 99.9};

    private Percentiles() {}

    static ObjectNode toJson(Histogram histogram) {
        ObjectNode node = Json.object()
                .put("count", histogram.getTotalCount())
                .put("mean", Math.round(histogram.getMean()))
                .put("max", histogram.getMaxValue());
        for (double percentile : REPORTED) {
            node.put(name(percentile), histogram.getValueAtPercentile(percentile));
        }
        return node;
    }

    static String name(double percentile) {
        boolean whole = percentile == Math.rint(percentile);
        return "p" + (whole ? Long.toString((long) percentile) : Double.toString(percentile));
    }
}
