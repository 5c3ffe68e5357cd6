package org.quetzalshunt.core.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/** Records that wait for their append, in the order in which they came, bounded by count and by octets. */
final class Backlog {
    /** A record and who hears what became of it. */
    record Pending(byte[] data, Consumer<Submission> whenFolded) {}

    private final Deque<Pending> waiting = new ArrayDeque<>();
    private final int maximumRecords;
    private final long maximumBytes;
    private int records;
    private long bytes;

    private Backlog(int maximumRecords, long maximumBytes) {
        this.maximumRecords = maximumRecords;
        this.maximumBytes = maximumBytes;
    }

    static Backlog create(StreamSettings settings) {
        return new Backlog(settings.maximumBacklogRecords(), settings.maximumBacklogBytes());
    }

    boolean offer(Pending pending) {
        if (records >= maximumRecords || bytes + pending.data().length > maximumBytes) {
            return false;
        }
        records++;
        bytes += pending.data().length;
        waiting.addLast(pending);
        return true;
    }

    boolean hasWaiting() {
        return !waiting.isEmpty();
    }

    /** Takes as many waiting records as fit; they count towards the bounds until they are settled. */
    List<Pending> take(int maximumBatchBytes) {
        List<Pending> taken = new ArrayList<>();
        int size = 0;
        while (!waiting.isEmpty()) {
            int more = BatchFrame.recordBytes(waiting.peekFirst().data());
            if (size + more > maximumBatchBytes) {
                break;
            }
            size += more;
            taken.add(waiting.removeFirst());
        }
        return taken;
    }

    void settled(Pending pending) {
        records--;
        bytes -= pending.data().length;
    }

    int records() {
        return records;
    }

    long bytes() {
        return bytes;
    }
}
