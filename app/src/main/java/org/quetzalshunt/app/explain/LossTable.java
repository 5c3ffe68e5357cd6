package org.quetzalshunt.app.explain;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Counts outcomes of requests or programs for each value of one dimension. The number of values is bounded; further
 * values are counted together.
 */
final class LossTable {
    private static final int MAXIMUM_ROWS = 5_000;
    private static final String OVERFLOW_VALUE = "others";

    /** Counts of one value of the dimension. */
    static final class Row {
        private long all;
        private long late;
        private long refused;
        private long failed;

        long all() {
            return all;
        }

        long late() {
            return late;
        }

        long refused() {
            return refused;
        }

        long failed() {
            return failed;
        }

        long lost() {
            return late + refused + failed;
        }
    }

    private final Map<String, Row> rows = new HashMap<>();

    /** Counts one outcome. */
    void add(String value, Outcome outcome) {
        boolean hasOwnRow = rows.containsKey(value) || rows.size() < MAXIMUM_ROWS;
        Row row = rows.computeIfAbsent(hasOwnRow ? value : OVERFLOW_VALUE, ignored -> new Row());
        row.all++;
        switch (outcome) {
            case LATE -> row.late++;
            case REFUSED -> row.refused++;
            case FAILED -> row.failed++;
            case SERVED -> {}
        }
    }

    /** Values with losses in descending order of loss, up to a limit. */
    Map<String, Row> largestLosses(int limit) {
        Comparator<Map.Entry<String, Row>> order =
                Comparator.comparingLong(entry -> -entry.getValue().lost());
        List<Map.Entry<String, Row>> sorted = rows.entrySet().stream()
                .filter(entry -> entry.getValue().lost() > 0)
                .sorted(order.thenComparing(Map.Entry.comparingByKey()))
                .limit(limit)
                .toList();
        Map<String, Row> largest = new LinkedHashMap<>();
        sorted.forEach(entry -> largest.put(entry.getKey(), entry.getValue()));
        return largest;
    }
}
