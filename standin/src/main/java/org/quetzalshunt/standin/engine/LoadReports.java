package org.quetzalshunt.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.quetzalshunt.wire.json.Json;

/** Load as it was a lag ago. */
final class LoadReports {
    private static final long RESOLUTION_MILLIS = 5;
    private static final long RATE_WINDOW_MILLIS = 1_000;

    private final long lagMillis;
    private final LongSupplier clockMillis;
    private final Function<ObjectNode, ObjectNode> describe;
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();

    private LoadReports(long lagMillis, LongSupplier clockMillis, Function<ObjectNode, ObjectNode> describe) {
        this.lagMillis = lagMillis;
        this.clockMillis = clockMillis;
        this.describe = describe;
    }

    /** Reports made by a function that adds the present figures to an object. */
    static LoadReports create(long lagMillis, LongSupplier clockMillis, Function<ObjectNode, ObjectNode> describe) {
        return new LoadReports(lagMillis, clockMillis, describe);
    }

    /** Notes the figures of now; {@code words} is the count of words given since the start. */
    void note(long words) {
        long now = clockMillis.getAsLong();
        Snapshot last = snapshots.peekLast();
        if (last != null && now - last.millis() < RESOLUTION_MILLIS) {
            snapshots.removeLast();
        }
        snapshots.addLast(new Snapshot(now, words, describe.apply(Json.object())));
        long oldestUseful = now - lagMillis - RATE_WINDOW_MILLIS;
        while (snapshots.size() > 1 && snapshots.peekFirst().millis() < oldestUseful) {
            snapshots.removeFirst();
        }
    }

    byte[] toJson() {
        long asOf = clockMillis.getAsLong() - lagMillis;
        Snapshot shown = latestAt(asOf);
        Snapshot before = latestAt(asOf - RATE_WINDOW_MILLIS);
        long perSecond = shown.words() - before.words();
        return Json.bytes(
                shown.figures().deepCopy().put("tokensPerSecond", perSecond).put("asOfMillis", asOf));
    }

    /** The newest snapshot that is not later; before the first one, the first. */
    private Snapshot latestAt(long millis) {
        Snapshot found = snapshots.peekFirst();
        for (Snapshot snapshot : snapshots) {
            if (snapshot.millis() > millis) {
                break;
            }
            found = snapshot;
        }
        return found;
    }

    private record Snapshot(long millis, long words, ObjectNode figures) {}
}
