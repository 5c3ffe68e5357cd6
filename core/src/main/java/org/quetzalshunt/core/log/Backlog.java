package org.quetzalshunt.core.log;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Consumer;

/** Submitted records in order of arrival, bounded by number and total size. */
final class Backlog {
    /** A record and the callback for its outcome. */
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

    /** Removes as many waiting records as fit into a batch. They count towards the bounds until they are settled. */
    List<Pending> pollBatch(int maximumBatchBytes) {
        List<Pending> batch = new ArrayList<>();
        int batchBytes = 0;
        while (!waiting.isEmpty()) {
            int recordBytes = BatchFrame.recordBytes(waiting.peekFirst().data());
            if (batchBytes + recordBytes > maximumBatchBytes) {
                break;
            }
            batchBytes += recordBytes;
            batch.add(waiting.removeFirst());
        }
        return batch;
    }

    void release(Pending pending) {
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
