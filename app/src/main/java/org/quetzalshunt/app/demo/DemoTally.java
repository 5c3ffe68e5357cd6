package org.quetzalshunt.app.demo;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.TreeMap;
import org.quetzalshunt.wire.json.Json;

/** What the demo's callers saw, counted; used by many threads. */
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

    synchronized void program() {
        programs++;
    }

    synchronized void finished() {
        finished++;
    }

    synchronized void turn() {
        turns++;
    }

    synchronized void lost() {
        lost++;
    }

    synchronized void doubled(int count) {
        doubled += count;
    }

    synchronized void cut() {
        cut++;
    }

    synchronized void overBudget() {
        overBudget++;
    }

    synchronized void outOfOrder() {
        outOfOrder++;
    }

    synchronized void acceptedAfterWithdrawal() {
        acceptedAfterWithdrawal++;
    }

    synchronized void heldAfterEnd(int count) {
        heldAfterEnd += count;
    }

    synchronized void resent() {
        resent++;
    }

    synchronized void refused(int code) {
        refusals.merge(Integer.toString(code), 1, Integer::sum);
    }

    /** Whether every promise held, and every program came to its end. */
    synchronized boolean allHeld() {
        return programs > 0
                && finished == programs
                && lost + doubled + cut + overBudget + outOfOrder + acceptedAfterWithdrawal + heldAfterEnd == 0;
    }

    synchronized ObjectNode json() {
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
        row(text, "lost programs", lost, "doubled calls", doubled);
        row(text, "cut or mixed answers", cut, "turns out of order", outOfOrder);
        row(text, "programs over budget", overBudget, "accepted after withdrawal", acceptedAfterWithdrawal);
        row(text, "engine memory held", heldAfterEnd, "refusal codes", refusals.size());
        refusals.forEach((code, count) -> text.append(String.format("  refused with code %-6s %6d%n", code, count)));
        return text.toString();
    }

    private static void row(StringBuilder text, String first, int one, String second, int two) {
        text.append(String.format("  %-24s %6d    %-26s %6d%n", first, one, second, two));
    }
}
