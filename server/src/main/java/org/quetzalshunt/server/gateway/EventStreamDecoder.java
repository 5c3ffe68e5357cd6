package org.quetzalshunt.server.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.quetzalshunt.core.attempt.EventStreamParser;

/**
 * Splits an event stream (WHATWG HTML, section 9.2.6) with lines that end in LF or CR LF into complete events whose
 * bytes stay unchanged, so that a caller never receives part of an event when the stream breaks off. Event ids must
 * increase; a repeated or lower id marks the stream as broken.
 */
final class EventStreamDecoder {
    /** A complete event: its bytes as received, and its decoded data. */
    record Frame(byte[] octets, byte[] data) {}

    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private final List<byte[]> parsed = new ArrayList<>();
    private final EventStreamParser parser = EventStreamParser.create(parsed::add);
    private byte previous;
    private long lastId = Long.MIN_VALUE;
    private boolean broken;

    private EventStreamDecoder() {}

    /** Creates a decoder for a new stream. */
    static EventStreamDecoder create() {
        return new EventStreamDecoder();
    }

    /** Decodes the next bytes of the stream and returns the events that they complete. */
    List<Frame> decode(byte[] octets) {
        List<Frame> frames = new ArrayList<>();
        int start = 0;
        for (int index = 0; index < octets.length; index++) {
            byte current = octets[index];
            if (current == '\r') {
                continue;
            }
            if (current == '\n' && previous == '\n') {
                pending.write(octets, start, index + 1 - start);
                start = index + 1;
                addFrame(pending.toByteArray(), frames);
                pending.reset();
                previous = 0;
                continue;
            }
            previous = current;
        }
        pending.write(octets, start, octets.length - start);
        broken |= pending.size() > EventStreamParser.MAXIMUM_EVENT_BYTES;
        return frames;
    }

    /** Size of the event that is not complete yet. */
    int pendingBytes() {
        return pending.size();
    }

    private void addFrame(byte[] octets, List<Frame> frames) {
        parsed.clear();
        checkId(octets);
        broken |= !parser.accept(octets);
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        parsed.forEach(data::writeBytes);
        frames.add(new Frame(octets, data.toByteArray()));
    }

    private void checkId(byte[] octets) {
        for (String line : new String(octets, StandardCharsets.ISO_8859_1).split("\n")) {
            if (!line.startsWith(ID_FIELD)) {
                continue;
            }
            long id = parseId(line.substring(ID_FIELD.length()).trim());
            broken |= lastId != Long.MIN_VALUE && id <= lastId;
            lastId = id;
        }
    }

    private long parseId(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException notANumber) {
            // Ids that are not numbers cannot be checked and are accepted.
            return lastId == Long.MIN_VALUE ? Long.MIN_VALUE : lastId + 1;
        }
    }

    /** Whether an id was not higher than the previous one, or an event was too long. */
    boolean isBroken() {
        return broken;
    }

    /** Whether bytes of an incomplete event remain. */
    boolean hasIncompleteEvent() {
        return pending.size() > 0;
    }
}
