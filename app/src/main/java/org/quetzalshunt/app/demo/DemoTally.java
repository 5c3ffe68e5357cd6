package org.quetzalshunt.app.demo;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.quetzalshunt.wire.json.Json;

/** Thread-safe counts of the outcomes that the demo observed. */
final class DemoTally {
    private int programs;
    private int finished;
    private int turns;
    private int lost;
    private int doubled;
    private int cut;
    private int overBudget;
    private int outOfOrder;
    private int acceptedAfterWithdrawal;
    private int heldAfterEnd;
    private int resent;
    private final Map<String, Integer> refusals = new TreeMap<>();

    synchronized void recordProgram() {
        programs++;
    }

    synchronized void recordFinished() {
        finished++;
    }

    synchronized void recordTurn() {
        turns++;
    }

    synchronized void recordLost() {
        lost++;
    }

    synchronized void recordDoubled(int count) {
        doubled += count;
    }

    synchronized void recordCut() {
        cut++;
    }

    synchronized void recordOverBudget() {
        overBudget++;
    }

    synchronized void recordOutOfOrder() {
        outOfOrder++;
    }

    synchronized void recordAcceptedAfterWithdrawal() {
        acceptedAfterWithdrawal++;
    }

    synchronized void recordHeldAfterEnd(int count) {
        heldAfterEnd += count;
    }

    synchronized void recordResend() {
        resent++;
    }

    synchronized void recordRefusal(int code) {
        refusals.merge(Integer.toString(code), 1, Integer::sum);
    }

    /** Whether every program finished and no guarantee was violated. */
    synchronized boolean allGuaranteesHeld() {
        return programs > 0
                && finished == programs
                && lost + doubled + cut + overBudget + outOfOrder + acceptedAfterWithdrawal + heldAfterEnd == 0;
    }

    synchronized ObjectNode toJson() {
        ObjectNode node = Json.object();
        node.put("programs", programs);
        node.put("finished", finished);
        node.put("turns", turns);
        node.put("lost", lost);
        node.put("doubled", doubled);
        node.put("cut", cut);
        node.put("overBudget", overBudget);
        node.put("outOfOrder", outOfOrder);
        node.put("acceptedAfterWithdrawal", acceptedAfterWithdrawal);
        node.put("heldAfterEnd", heldAfterEnd);
        node.put("resent", resent);
        ObjectNode byCode = node.putObject("refusals");
        refusals.forEach(byCode::put);
        return node;
    }

    synchronized String table() {
        StringBuilder text = new StringBuilder();
        row(text, "programs", programs, "finished", finished);
        row(text, "turns", turns, "sent again by callers", resent);
        row(text, "lost programs", lost, "doubled runs of a call", doubled);
        row(text, "cut or mixed answers", cut, "turns out of order", outOfOrder);
        row(text, "programs over budget", overBudget, "accepted after withdrawal", acceptedAfterWithdrawal);
        row(text, "engine cache still held", heldAfterEnd, "refusal codes", refusals.size());
        refusals.forEach((code, count) -> text.append(String.format("  refused with code %-6s %6d%n", code, count)));
        return text.toString();
    }

    private static void row(StringBuilder text, String first, int one, String second, int two) {
        text.append(String.format("  %-24s %6d    %-26s %6d%n", first, one, second, two));
    }
}
