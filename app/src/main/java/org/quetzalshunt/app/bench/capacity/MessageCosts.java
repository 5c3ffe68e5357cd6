package org.quetzalshunt.app.bench.capacity;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.quetzalshunt.wire.generated.AttemptChunk;
import org.quetzalshunt.wire.generated.EndpointReport;
import org.quetzalshunt.wire.generated.Message;
import org.quetzalshunt.wire.message.MessageCodec;

/** Octets of the messages of which there are many. */
final class MessageCosts {
    private static final double REPORTS_PER_SECOND = 2;

    private MessageCosts() {}

    /** Octets on a link for one token's chunk by octets of its data. */
    static Slope octetsByChunk(List<Integer> sizes) {
        List<Slope.Point> points = new ArrayList<>();
        for (int size : sizes) {
            Message chunk =
                    Message.attemptChunk(new AttemptChunk(Long.MAX_VALUE, 100, ByteBuffer.wrap(new byte[size])));
            points.add(new Slope.Point(size, framed(chunk)));
        }
        return new Slope("frame of one chunk", "dataOctets", "octets", points);
    }

    /** Octets a second of load reports by links that one sidecar has, or sidecars that one entry has. */
    static Slope reports(List<Integer> links) {
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
        double octets = framed(Message.endpointReport(report)) * REPORTS_PER_SECOND;
        List<Slope.Point> points = new ArrayList<>();
        links.forEach(count -> points.add(new Slope.Point(count, count * octets)));
        return new Slope("load reports of idle endpoints", "links", "octetsPerSecond", points);
    }

    private static int framed(Message message) {
        return MessageCodec.encode(message).length + Integer.BYTES;
    }
}
