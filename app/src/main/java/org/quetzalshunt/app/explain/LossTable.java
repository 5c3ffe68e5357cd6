package org.quetzalshunt.app.explain;

import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Counts what was not served in time under the values of one dimension; bounded, the rest is counted together. */
final class LossTable {
    private static final int MOST_ROWS = 5_000;
    private static final String REST = "others";

    /** One value of the dimension. */
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
        boolean known = rows.containsKey(value) || rows.size() < MOST_ROWS;
        Row row = rows.computeIfAbsent(known ? value : REST, ignored -> new Row());
        row.all++;
        switch (outcome) {
            case LATE -> row.late++;
            case REFUSED -> row.refused++;
            case FAILED -> row.failed++;
            case SERVED -> {}
        }
    }

    /** Values with losses, the largest loss first. */
    Map<String, Row> largest(int most) {
        Comparator<Map.Entry<String, Row>> order =
                Comparator.comparingLong(entry -> -entry.getValue().lost());
        List<Map.Entry<String, Row>> sorted = rows.entrySet().stream()
                .filter(entry -> entry.getValue().lost() > 0)
                .sorted(order.thenComparing(Map.Entry.comparingByKey()))
                .limit(most)
                .toList();
        Map<String, Row> largest = new LinkedHashMap<>();
        sorted.forEach(entry -> largest.put(entry.getKey(), entry.getValue()));
        return largest;
    }
}
