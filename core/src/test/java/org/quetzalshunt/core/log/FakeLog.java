package org.quetzalshunt.core.log;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

/** A simulated log with one stream and a virtual clock. It injects the faults described in docs/PLATFORM.md. */
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
    private long readFailureMillis = 20;
    private FaultRates rates = FaultRates.NONE;
    private AppendFault nextFault = AppendFault.NONE;

    /** A fault of one append. */
    public enum AppendFault {
        NONE,
        /** The append takes effect, but its answer is lost. */
        ANSWER_LOST,
        /** The append does not arrive; the sender sees only a time-out. */
        REQUEST_LOST,
        /** The append takes effect after the sender's time-out. */
        LATE,
        /** The append takes effect twice, the second time after a delay. */
        TWICE,
        /** The log rejects the append. */
        REFUSED
    }

    /** Fractions of appends and reads that fail. */
    private record FaultRates(double append, double read) {
        static final FaultRates NONE = new FaultRates(0, 0);
    }

    private record Event(long atMillis, long order, Runnable action) {}

    public FakeLog(long seed) {
        random = new SplittableRandom(seed);
    }

    /** Transport of one process. */
    public final class Transport implements LogTransport {
        private StreamSession session;
        private final List<Runnable> delayedAnswers = new ArrayList<>();
        private boolean crashed;
        private boolean paused;
        private int readSerial;

        public void attach(StreamSession attached) {
            session = attached;
        }

        /** Simulates a crash of the process: answers are no longer delivered. */
        public void crash() {
            crashed = true;
        }

        /** Pauses the process: answers are delivered when it resumes. */
        public void pause() {
            paused = true;
        }

        public void resume() {
            paused = false;
            delayedAnswers.forEach(Runnable::run);
            delayedAnswers.clear();
        }

        @Override
        public void append(String stream, byte[] batch) {
            appends++;
            AppendFault fault = outage ? AppendFault.REQUEST_LOST : drawFault();
            long arrivalMillis = 1 + random.nextLong(4);
            long timeoutMillis = arrivalMillis + 30;
            switch (fault) {
                case NONE -> after(arrivalMillis, () -> answerAppend(store(batch)));
                case ANSWER_LOST -> {
                    after(arrivalMillis, () -> store(batch));
                    after(timeoutMillis, () -> answer(() -> session.onAppendFailed(nowMillis, true)));
                }
                case REQUEST_LOST -> after(timeoutMillis, () -> answer(() -> session.onAppendFailed(nowMillis, true)));
                case LATE -> {
                    after(timeoutMillis, () -> answer(() -> session.onAppendFailed(nowMillis, true)));
                    after(timeoutMillis + random.nextLong(400), () -> store(batch));
                }
                case TWICE -> {
                    after(arrivalMillis, () -> answerAppend(store(batch)));
                    after(arrivalMillis + random.nextLong(400), () -> store(batch));
                }
                case REFUSED -> after(arrivalMillis, () -> answer(() -> session.onAppendFailed(nowMillis, false)));
            }
        }

        @Override
        public void read(String stream, long from, long waitMillis) {
            reads++;
            int serial = ++readSerial;
            if (outage || random.nextDouble() < rates.read()) {
                after(readFailureMillis, () -> answerRead(serial, () -> session.onReadFailed(nowMillis)));
                return;
            }
            long until = nowMillis + waitMillis;
            after(1 + random.nextLong(3), () -> serve(serial, from, until));
        }

        @Override
        public void abandonRead(String stream) {
            readSerial++;
        }

        private void answerRead(int serial, Runnable action) {
            answer(() -> {
                if (serial == readSerial) {
                    action.run();
                }
            });
        }

        private void serve(int serial, long from, long until) {
            if (from >= next() && nowMillis < until && !crashed) {
                after(POLL_MILLIS, () -> serve(serial, from, until));
                return;
            }
            List<LogEntry> entries = new ArrayList<>();
            for (long offset = Math.max(from, firstKept);
                    offset < next() && entries.size() < ENTRIES_PER_READ;
                    offset++) {
                entries.add(new LogEntry(offset, records.get((int) offset)));
            }
            ReadAnswer read = new ReadAnswer(firstKept, next(), entries);
            after(1 + random.nextLong(3), () -> answerRead(serial, () -> session.onRead(nowMillis, read)));
        }

        private void answerAppend(long offset) {
            after(1, () -> answer(() -> session.onAppended(nowMillis, offset)));
        }

        private void answer(Runnable action) {
            if (paused) {
                delayedAnswers.add(action);
            } else if (!crashed) {
                action.run();
            }
        }
    }

    public Transport transport() {
        return new Transport();
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

    /** Sets the time after which a failed read is reported. */
    public void setReadFailureMillis(long millis) {
        readFailureMillis = millis;
    }

    /** Sets the fractions of appends and of reads that fail. */
    public void setFaults(double appendFraction, double readFraction) {
        rates = new FaultRates(appendFraction, readFraction);
    }

    /** Injects a fault into the next append. */
    public void failNextAppend(AppendFault fault) {
        nextFault = fault;
    }

    public long store(byte[] record) {
        records.add(record);
        return records.size() - 1L;
    }

    public void dropBelow(long offset) {
        firstKept = Math.max(firstKept, offset);
    }

    /** Advances the clock millisecond by millisecond and runs the action in each. */
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
