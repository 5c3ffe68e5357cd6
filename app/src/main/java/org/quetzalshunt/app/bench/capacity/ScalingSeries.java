package org.quetzalshunt.app.bench.capacity;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.quetzalshunt.wire.json.Json;

/**
 * Values of one quantity measured at several sizes.
 *
 * @param name name of the measured quantity
 * @param sizeName name of the quantity that the sizes count
 * @param unit unit of the values
 * @param points measured values by size
 */
record ScalingSeries(String name, String sizeName, String unit, List<Point> points) {
    /**
     * One measurement.
     *
     * @param size size at which the value was measured
     * @param value measured value
     */
    record Point(double size, double value) {}

    /** Returns the slope of the least-squares line, in units of the value per unit of size. */
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
        node.put("size", sizeName);
        node.put("unit", unit);
        ArrayNode values = node.putArray("points");
        points.forEach(point -> values.addObject().put(sizeName, point.size()).put(unit, point.value()));
        node.put("slope", slope());
        return node;
    }
}
