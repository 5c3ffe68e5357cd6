package org.quetzalshunt.app.bench.limits;

import java.util.PriorityQueue;

/** Milliseconds that pass only from one planned action to the next. */
final class VirtualTime {
    private final PriorityQueue<Planned> planned = new PriorityQueue<>();
    private long nowMillis;
    private long order;

    private record Planned(long millis, long order, Runnable action) implements Comparable<Planned> {
        @Override
        public int compareTo(Planned other) {
            return millis != other.millis ? Long.compare(millis, other.millis) : Long.compare(order, other.order);
        }
    }

    long now() {
        return nowMillis;
    }

    void after(long millis, Runnable action) {
        planned.add(new Planned(nowMillis + millis, order++, action));
    }

    void every(long millis, long firstMillis, Runnable action) {
        after(firstMillis, () -> {
            action.run();
            every(millis, millis, action);
        });
    }

    void run(long untilMillis) {
        while (!planned.isEmpty() && planned.peek().millis() <= untilMillis) {
            Planned next = planned.poll();
            nowMillis = next.millis();
            next.action().run();
        }
        nowMillis = untilMillis;
    }
}
