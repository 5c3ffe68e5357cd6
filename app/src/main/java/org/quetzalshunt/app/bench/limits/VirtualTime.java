package org.quetzalshunt.app.bench.limits;

import java.util.PriorityQueue;

/** Virtual clock and event queue, which advances directly from one scheduled action to the next. */
final class VirtualTime {
    private final PriorityQueue<ScheduledAction> queue = new PriorityQueue<>();
    private long nowMillis;
    private long sequence;

    private record ScheduledAction(long millis, long sequence, Runnable action) implements Comparable<ScheduledAction> {
        @Override
        public int compareTo(ScheduledAction other) {
            return millis != other.millis ? Long.compare(millis, other.millis) : Long.compare(sequence, other.sequence);
        }
    }

    long now() {
        return nowMillis;
    }

    void runAfter(long millis, Runnable action) {
        queue.add(new ScheduledAction(nowMillis + millis, sequence++, action));
    }

    void runEvery(long millis, long firstMillis, Runnable action) {
        runAfter(firstMillis, () -> {
            action.run();
            runEvery(millis, millis, action);
        });
    }

    void advanceTo(long untilMillis) {
        while (!queue.isEmpty() && queue.peek().millis() <= untilMillis) {
            ScheduledAction next = queue.poll();
            nowMillis = next.millis();
            next.action().run();
        }
        nowMillis = untilMillis;
    }
}
