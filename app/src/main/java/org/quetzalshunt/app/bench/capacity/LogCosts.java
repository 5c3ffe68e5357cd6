package org.quetzalshunt.app.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import org.quetzalshunt.core.log.LogFold;
import org.quetzalshunt.core.log.LogTransport;
import org.quetzalshunt.core.log.ReadAnswer;
import org.quetzalshunt.core.log.StreamSession;
import org.quetzalshunt.core.log.StreamSettings;

/** Counts a stream's appends under a rising rate of records, in virtual time. */
final class LogCosts {
    private static final long COMMIT_MILLIS = 50;
    private static final int SECONDS = 20;
    private static final int MILLIS_PER_SECOND = 1_000;
    private static final int RECORD_BYTES = 2_000;

    private LogCosts() {}

    /** Appends a second of one stream by records a second. */
    static Slope appendsByRecords(List<Integer> rates) {
        List<Slope.Point> points = new ArrayList<>();
        for (int rate : rates) {
            points.add(new Slope.Point(rate, appends(rate)));
        }
        return new Slope(
                "appends of one stream at a commit interval of " + COMMIT_MILLIS + " ms",
                "recordsPerSecond",
                "appendsPerSecond",
                points);
    }

    private static double appends(int rate) {
        Transport transport = new Transport();
        LogFold fold = new LogFold() {
            @Override
            public void apply(long offset, byte[] record, int indexInBatch) {}

            @Override
            public void gap(long firstKept) {}
        };
        StreamSession session =
                StreamSession.create("shard-0", StreamSettings.onDemand(COMMIT_MILLIS, 1), "entry#1", transport, fold);
        double due = 0;
        for (long now = 0; now < (long) SECONDS * MILLIS_PER_SECOND; now++) {
            due += rate / (double) MILLIS_PER_SECOND;
            for (; due >= 1; due--) {
                session.submit(now, new byte[RECORD_BYTES], submission -> {});
            }
            session.tick(now);
            if (transport.readUnderWay) {
                transport.readUnderWay = false;
                session.onRead(now, new ReadAnswer(0, transport.appends, List.of()));
            }
            if (transport.underWay) {
                transport.underWay = false;
                session.onAppended(now, transport.appends++);
            }
        }
        return transport.appends / (double) SECONDS;
    }

    private static final class Transport implements LogTransport {
        private boolean underWay;
        private boolean readUnderWay;
        private long appends;

        @Override
        public void append(String stream, byte[] batch) {
            underWay = true;
        }

        @Override
        public void read(String stream, long from, long waitMillis) {
            readUnderWay = true;
        }
    }
}
