package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import org.quetzalshunt.wire.json.Json;

/**
 * Structured log: one JSON object a line. The event loop only puts lines into a bounded queue, which a thread of its own
 * writes out; a full queue drops the line and counts it, so that a slow reader of the log never holds up a request.
 */
final class DecisionLog {
    /** About a second of lines at the design's peak of one VM. */
    private static final int QUEUE_LINES = 2_048;

    private final BlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final AtomicLong dropped = new AtomicLong();
    private final String vm;
    private final PrintStream out;

    private DecisionLog(String vm, PrintStream out) {
        this.vm = vm;
        this.out = out;
    }

    /** Starts the writing thread. */
    static DecisionLog start(String vm, PrintStream out) {
        DecisionLog log = new DecisionLog(vm, out);
        Thread writer = new Thread(log::write, "decision-log");
        writer.setDaemon(true);
        writer.start();
        return log;
    }

    /** An object to fill in and give to {@link #line}. */
    ObjectNode event(String name) {
        return Json.object()
                .put("time", System.currentTimeMillis())
                .put("vm", vm)
                .put("event", name);
    }

    void line(ObjectNode event) {
        long lost = dropped.get();
        if (lost > 0) {
            event.put("droppedBefore", lost);
        }
        if (!queue.offer((event.toString() + "\n").getBytes(StandardCharsets.UTF_8))) {
            dropped.incrementAndGet();
            return;
        }
        dropped.addAndGet(-lost);
    }

    private void write() {
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
