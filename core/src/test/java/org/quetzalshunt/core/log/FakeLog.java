package org.quetzalshunt.core.log;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** A log with one stream on a virtual clock, with the faults of the platform's: see docs/PLATFORM.md. */
public final class FakeLog {
    private static final int ENTRIES_PER_READ = 40;
    private static final long POLL_MILLIS = 3;

    private final List<byte[]> records = new ArrayList<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atMillis).thenComparingLong(Event::order));
    private final SplittableRandom random;
    private long order;
    private long nowMillis;
    private long firstKept;
    private int appends;
    private int reads;
    private boolean outage;
    private FaultRates rates = FaultRates.NONE;
    private AppendFault nextFault = AppendFault.NONE;

    /** What happens to an append. */
    public enum AppendFault {
        NONE,
        /** It takes effect, the answer is lost. */
        ANSWER_LOST,
        /** It never arrives, and the sender cannot know. */
        REQUEST_LOST,
        /** The sender gives up; it takes effect some time later. */
        LATE,
        /** It takes effect twice, the second time later. */
        TWICE,
        /** The log says no. */
        REFUSED
    }

    /** Shares of appends and reads that a fault hits. */
    private record FaultRates(double append, double read) {
        static final FaultRates NONE = new FaultRates(0, 0);
    }

    private record Event(long atMillis, long order, Runnable action) {}

    public FakeLog(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Transport of one process; what it hears after {@code cut} is nothing, as after a crash. */
    public final class Line implements LogTransport {
        private StreamSession session;
        private final List<Runnable> held = new ArrayList<>();
        private boolean cut;
        private boolean paused;

        public void attach(StreamSession attached) {
            session = attached;
        }

        public void cut() {
            cut = true;
        }

        /** The process stands still: answers wait in its socket. */
        public void pause() {
            paused = true;
        }

        public void resume() {
            paused = false;
            held.forEach(Runnable::run);
            held.clear();
        }

        @Override
        public void append(String stream, byte[] batch) {
            appends++;
            AppendFault fault = outage ? AppendFault.REQUEST_LOST : drawFault();
            long there = 1 + random.nextLong(4);
            long deadline = there + 30;
            switch (fault) {
                case NONE -> after(there, () -> answerAppend(take(batch)));
                case ANSWER_LOST -> {
                    after(there, () -> take(batch));
                    after(deadline, () -> answer(() -> session.onAppendFailed(nowMillis, true)));
                }
                case REQUEST_LOST -> after(deadline, () -> answer(() -> session.onAppendFailed(nowMillis, true)));
                case LATE -> {
                    after(deadline, () -> answer(() -> session.onAppendFailed(nowMillis, true)));
                    after(deadline + random.nextLong(400), () -> take(batch));
                }
                case TWICE -> {
                    after(there, () -> answerAppend(take(batch)));
                    after(there + random.nextLong(400), () -> take(batch));
                }
                case REFUSED -> after(there, () -> answer(() -> session.onAppendFailed(nowMillis, false)));
            }
        }

        @Override
        public void read(String stream, long from, long waitMillis) {
            reads++;
            if (outage || random.nextDouble() < rates.read()) {
                after(20, () -> answer(() -> session.onReadFailed(nowMillis)));
                return;
            }
            long until = nowMillis + waitMillis;
            after(1 + random.nextLong(3), () -> serve(from, until));
        }

        private void serve(long from, long until) {
            if (from >= next() && nowMillis < until && !cut) {
                after(POLL_MILLIS, () -> serve(from, until));
                return;
            }
            List<LogEntry> entries = new ArrayList<>();
            for (long offset = Math.max(from, firstKept);
                    offset < next() && entries.size() < ENTRIES_PER_READ;
                    offset++) {
                entries.add(new LogEntry(offset, records.get((int) offset)));
            }
            ReadAnswer read = new ReadAnswer(firstKept, next(), entries);
            after(1 + random.nextLong(3), () -> answer(() -> session.onRead(nowMillis, read)));
        }

        private void answerAppend(long offset) {
            after(1, () -> answer(() -> session.onAppended(nowMillis, offset)));
        }

        private void answer(Runnable action) {
            if (paused) {
                held.add(action);
            } else if (!cut) {
                action.run();
            }
        }
    }

    public Line line() {
        return new Line();
    }

    public long now() {
        return nowMillis;
    }

    public long next() {
        return records.size();
    }

    public int appends() {
        return appends;
    }

    public int reads() {
        return reads;
    }

    public void setOutage(boolean down) {
        outage = down;
    }

    /** Sets the shares of appends and of reads that a fault hits. */
    public void setFaults(double ofAppends, double ofReads) {
        rates = new FaultRates(ofAppends, ofReads);
    }

    /** Hits the next append alone. */
    public void failNextAppend(AppendFault fault) {
        nextFault = fault;
    }

    public long take(byte[] record) {
        records.add(record);
        return records.size() - 1L;
    }

    public void dropBelow(long offset) {
        firstKept = Math.max(firstKept, offset);
    }

    /** Lets time pass, a millisecond at a time, with an action in each. */
    public void run(long millis, Runnable everyMillisecond) {
        long end = nowMillis + millis;
        while (nowMillis < end) {
            nowMillis++;
            while (!events.isEmpty() && events.peek().atMillis() <= nowMillis) {
                events.poll().action().run();
            }
            everyMillisecond.run();
        }
    }

    private AppendFault drawFault() {
        AppendFault fault = nextFault;
        nextFault = AppendFault.NONE;
        if (fault != AppendFault.NONE || random.nextDouble() >= rates.append()) {
            return fault;
        }
        AppendFault[] faults = AppendFault.values();
        return faults[1 + random.nextInt(faults.length - 1)];
    }

    private void after(long millis, Runnable action) {
        events.add(new Event(nowMillis + millis, order++, action));
    }
}
