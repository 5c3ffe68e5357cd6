package org.quetzalshunt.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Function;
import java.util.function.LongSupplier;
import org.quetzalshunt.wire.json.Json;

/** Load reports with a fixed delay: keeps snapshots of the load and returns the one of {@code lagMillis} ago. */
final class LoadReports {
    private static final long RESOLUTION_MILLIS = 5;
    private static final long RATE_WINDOW_MILLIS = 1_000;

    private final long lagMillis;
    private final LongSupplier clockMillis;
    private final Function<ObjectNode, ObjectNode> addFigures;
    private final Deque<Snapshot> snapshots = new ArrayDeque<>();

    private LoadReports(long lagMillis, LongSupplier clockMillis, Function<ObjectNode, ObjectNode> addFigures) {
        this.lagMillis = lagMillis;
        this.clockMillis = clockMillis;
        this.addFigures = addFigures;
    }

    /** Creates reports from a function that adds the current load figures to an object. */
    static LoadReports create(long lagMillis, LongSupplier clockMillis, Function<ObjectNode, ObjectNode> addFigures) {
        return new LoadReports(lagMillis, clockMillis, addFigures);
    }

    /** Records the current load figures; {@code words} is the number of words emitted since the start. */
    void addSnapshot(long words) {
        long now = clockMillis.getAsLong();
        Snapshot last = snapshots.peekLast();
        if (last != null && now - last.millis() < RESOLUTION_MILLIS) {
            snapshots.removeLast();
        }
        snapshots.addLast(new Snapshot(now, words, addFigures.apply(Json.object())));
        long oldestUseful = now - lagMillis - RATE_WINDOW_MILLIS;
        while (snapshots.size() > 1 && snapshots.peekFirst().millis() < oldestUseful) {
            snapshots.removeFirst();
        }
    }

    byte[] toJson() {
        long asOf = clockMillis.getAsLong() - lagMillis;
        Snapshot reported = latestAt(asOf);
        Snapshot previous = latestAt(asOf - RATE_WINDOW_MILLIS);
        long perSecond = reported.words() - previous.words();
        return Json.bytes(
                reported.figures().deepCopy().put("tokensPerSecond", perSecond).put("asOfMillis", asOf));
    }

    /** The newest snapshot up to this time, or the oldest snapshot if all are later. */
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
