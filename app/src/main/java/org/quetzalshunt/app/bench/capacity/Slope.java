package org.quetzalshunt.app.bench.capacity;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.quetzalshunt.wire.json.Json;

/**
 * One measured quantity over sizes.
 *
 * @param name what was measured
 * @param size what the sizes count
 * @param unit unit of the values
 * @param points sizes with their values
 */
record Slope(String name, String size, String unit, List<Point> points) {
    /**
     * One measurement.
     *
     * @param size size
     * @param value value at that size
     */
    record Point(double size, double value) {}

    /** Least-squares slope: units for one more of the size. */
    double slope() {
        double meanSize = points.stream().mapToDouble(Point::size).average().orElse(0);
        double meanValue = points.stream().mapToDouble(Point::value).average().orElse(0);
        double covariance = 0;
        double variance = 0;
        for (Point point : points) {
            covariance += (point.size() - meanSize) * (point.value() - meanValue);
            variance += (point.size() - meanSize) * (point.size() - meanSize);
        }
        return variance == 0 ? 0 : covariance / variance;
    }

    ObjectNode json() {
        ObjectNode node = Json.object();
        node.put("name", name);
        node.put("size", size);
        node.put("unit", unit);
        ArrayNode values = node.putArray("points");
        points.forEach(point -> values.addObject().put(size, point.size()).put(unit, point.value()));
        node.put("slope", slope());
        return node;
    }
}
