package org.quetzalshunt.app.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import org.quetzalshunt.core.log.LogFold;
import org.quetzalshunt.core.log.LogTransport;
import org.quetzalshunt.core.log.ReadAnswer;
import org.quetzalshunt.core.log.StreamSession;
import org.quetzalshunt.core.log.StreamSettings;

/** Counts the log appends of one stream at several record rates, in virtual time. */
final class LogCosts {
    private static final long COMMIT_MILLIS = 50;
    private static final int DURATION_SECONDS = 20;
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final int RECORD_BYTES = 2_000;

    private LogCosts() {}

    /** Appends per second of one stream, by records per second. */
    static ScalingSeries appendsByRecords(List<Integer> rates) {
        List<ScalingSeries.Point> points = new ArrayList<>();
        for (int rate : rates) {
            points.add(new ScalingSeries.Point(rate, appendsPerSecond(rate)));
        }
        return new ScalingSeries(
                "appends of one stream at a commit interval of " + COMMIT_MILLIS + " ms",
                "recordsPerSecond",
                "appendsPerSecond",
                points);
    }

    private static double appendsPerSecond(int rate) {
        Transport transport = new Transport();
        LogFold fold = new LogFold() {
            @Override
            public void apply(long offset, byte[] record, int indexInBatch) {}

            @Override
            public void onGap(long firstKept) {}
        };
        StreamSession session =
                StreamSession.create("shard-0", StreamSettings.onDemand(COMMIT_MILLIS, 1), "entry#1", transport, fold);
        double dueRecords = 0;
        for (long now = 0; now < (long) DURATION_SECONDS * MILLIS_PER_SECOND; now++) {
            dueRecords += rate / (double) MILLIS_PER_SECOND;
            for (; dueRecords >= 1; dueRecords--) {
                session.submit(now, new byte[RECORD_BYTES], submission -> {});
            }
            session.tick(now);
            if (transport.readPending) {
                transport.readPending = false;
                session.onRead(now, new ReadAnswer(0, transport.appends, List.of()));
            }
            if (transport.appendPending) {
                transport.appendPending = false;
                session.onAppended(now, transport.appends++);
            }
        }
        return transport.appends / (double) DURATION_SECONDS;
    }

    private static final class Transport implements LogTransport {
        private boolean appendPending;
        private boolean readPending;
        private long appends;

        @Override
        public void append(String stream, byte[] batch) {
            appendPending = true;
        }

        @Override
        public void read(String stream, long from, long waitMillis) {
            readPending = true;
        }

        @Override
        public void abandonRead(String stream) {
            readPending = false;
        }
    }
}
