package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.quetzalshunt.wire.json.Json;

/**
 * Structured log with one JSON object per line. The event loop only puts lines into a bounded queue, which a separate
 * thread writes out. If the queue is full, the line is dropped and counted, so that a slow reader of the log never
 * delays a request.
 */
final class DecisionLog {
    /** About one second of log lines at the designed peak load of one VM. */
    private static final int MAXIMUM_QUEUED_LINES = 2_048;

    private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(MAXIMUM_QUEUED_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final String vm;
    private final PrintStream out;

    private DecisionLog(String vm, PrintStream out) {
        this.vm = vm;
        this.out = out;
    }

    /** Creates a log and starts its writer thread. */
    static DecisionLog start(String vm, PrintStream out) {
        DecisionLog log = new DecisionLog(vm, out);
        Thread writer = new Thread(log::writeLoop, "decision-log");
        writer.setDaemon(true);
        writer.start();
        return log;
    }

    /** Creates an event to be filled in and passed to {@link #write}. */
    ObjectNode event(String name) {
        return Json.object()
                .put("time", System.currentTimeMillis())
                .put("vm", vm)
                .put("event", name);
    }

    /** Queues an event; the first one after dropped lines also reports how many were dropped. */
    void write(ObjectNode event) {
        long droppedBefore = dropped.get();
        if (droppedBefore > 0) {
            event.put("droppedBefore", droppedBefore);
        }
        if (!queue.offer((event.toString() + "\n").getBytes(StandardCharsets.UTF_8))) {
            dropped.incrementAndGet();
            return;
        }
        dropped.addAndGet(-droppedBefore);
    }

    private void writeLoop() {
        try {
            while (true) {
                byte[] line = queue.take();
                out.write(line, 0, line.length);
                if (queue.isEmpty()) {
                    out.flush();
                }
            }
        } catch (InterruptedException stopped) {
            Thread.currentThread().interrupt();
        }
    }
}
