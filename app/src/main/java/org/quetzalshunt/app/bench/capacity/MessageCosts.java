package org.quetzalshunt.app.bench.capacity;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.quetzalshunt.wire.generated.AttemptChunk;
import org.quetzalshunt.wire.generated.EndpointReport;
import org.quetzalshunt.wire.generated.Message;
import org.quetzalshunt.wire.message.MessageCodec;

/** Measures the encoded size of frequently sent messages. */
final class MessageCosts {
    private static final double REPORTS_PER_SECOND = 2;

    private MessageCosts() {}

    /** Octets sent on a link for a chunk with one token, by octets of its data. */
    static ScalingSeries octetsByChunk(List<Integer> sizes) {
        List<ScalingSeries.Point> points = new ArrayList<>();
        for (int size : sizes) {
            Message chunk =
                    Message.attemptChunk(new AttemptChunk(Long.MAX_VALUE, 100, ByteBuffer.wrap(new byte[size])));
            points.add(new ScalingSeries.Point(size, framedLength(chunk)));
        }
        return new ScalingSeries("frame of one chunk", "dataOctets", "octets", points);
    }

    /** Octets per second of load reports, by links of one sidecar to entries or of one entry to sidecars. */
    static ScalingSeries octetsOfReports(List<Integer> links) {
        EndpointReport report = new EndpointReport(
                "engine-1234",
                1_000_000_000_000L,
                "service-1",
                12,
                3,
                64,
                150_000,
                1_000_000,
                4_000,
                false,
                true,
                40,
                900);
        double octets = framedLength(Message.endpointReport(report)) * REPORTS_PER_SECOND;
        List<ScalingSeries.Point> points = new ArrayList<>();
        links.forEach(count -> points.add(new ScalingSeries.Point(count, count * octets)));
        return new ScalingSeries("load reports of idle endpoints", "links", "octetsPerSecond", points);
    }

    private static int framedLength(Message message) {
        return MessageCodec.encode(message).length + Integer.BYTES;
    }
}
