package org.quetzalshunt.app.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;
import org.quetzalshunt.wire.json.Json;

/** Counts and latency histograms of one client account. Latencies are in microseconds. */
final class AccountResult {
    private static final long MAXIMUM_LATENCY_MICROS = 600_000_000L;
    private static final int SIGNIFICANT_DIGITS = 3;

    private final Histogram program = new Histogram(MAXIMUM_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram firstToken = new Histogram(MAXIMUM_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final Histogram betweenTokens = new Histogram(MAXIMUM_LATENCY_MICROS, SIGNIFICANT_DIGITS);
    private final Map<Integer, Integer> refusals = new TreeMap<>();
    private int started;
    private int finished;
    private int failed;
    private int turns;
    private int wrongAnswers;
    private int cutAnswers;
    private int shortenedAnswers;

    private AccountResult() {}

    static AccountResult create() {
        return new AccountResult();
    }

    void recordStart() {
        started++;
    }

    void recordFinish(long micros) {
        finished++;
        record(program, micros);
    }

    void recordFailure() {
        failed++;
    }

    void recordFirstToken(long micros) {
        record(firstToken, micros);
    }

    void recordTokenInterval(long micros) {
        record(betweenTokens, micros);
    }

    void recordTurn() {
        turns++;
    }

    void recordWrongAnswer() {
        wrongAnswers++;
    }

    /** Counts an answer that ended at a token limit. */
    void recordShortenedAnswer() {
        shortenedAnswers++;
    }

    void recordCutAnswer() {
        cutAnswers++;
    }

    void recordRefusal(int code) {
        refusals.merge(code, 1, Integer::sum);
    }

    void add(AccountResult other) {
        program.add(other.program);
        firstToken.add(other.firstToken);
        betweenTokens.add(other.betweenTokens);
        other.refusals.forEach((code, count) -> refusals.merge(code, count, Integer::sum));
        started += other.started;
        finished += other.finished;
        failed += other.failed;
        turns += other.turns;
        wrongAnswers += other.wrongAnswers;
        cutAnswers += other.cutAnswers;
        shortenedAnswers += other.shortenedAnswers;
    }

    int startedCount() {
        return started;
    }

    int finishedCount() {
        return finished;
    }

    int failedCount() {
        return failed;
    }

    Map<Integer, Integer> refusalCounts() {
        return refusals;
    }

    ObjectNode toJson() {
        ObjectNode node = Json.object()
                .put("started", started)
                .put("finished", finished)
                .put("failed", failed)
                .put("unfinished", started - finished - failed)
                .put("turns", turns)
                .put("wrongAnswers", wrongAnswers)
                .put("cutAnswers", cutAnswers)
                .put("shortenedAnswers", shortenedAnswers);
        ObjectNode codes = node.putObject("refusals");
        refusals.forEach((code, count) -> codes.put(Integer.toString(code), count));
        node.set("programMicros", Percentiles.toJson(program));
        node.set("firstTokenMicros", Percentiles.toJson(firstToken));
        node.set("betweenTokensMicros", Percentiles.toJson(betweenTokens));
        return node;
    }

    private static void record(Histogram histogram, long micros) {
        histogram.recordValue(Math.min(MAXIMUM_LATENCY_MICROS, Math.max(0, micros)));
    }
}
