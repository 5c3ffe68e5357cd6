package org.quetzalshunt.server.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.quetzalshunt.core.attempt.EventStreamParser;

/**
 * Cuts an event stream (WHATWG HTML, section 9.2.6) into whole events with their octets unchanged, so that a stream that
 * breaks off in mid-event never shows a caller half of one. Ids must grow: a repeat or a step back is a broken stream.
 */
final class EventFrames {
    /** One event. */
    record Frame(byte[] octets, byte[] data) {}

    private static final String ID_FIELD = "id:";

    private final ByteArrayOutputStream pending = new ByteArrayOutputStream();
    private final List<byte[]> parsed = new ArrayList<>();
    private final EventStreamParser parser = EventStreamParser.create(parsed::add);
    private byte previous;
    private long lastId = Long.MIN_VALUE;
    private boolean broken;

    private EventFrames() {}

    /** A stream that has not begun. */
    static EventFrames create() {
        return new EventFrames();
    }

    /** Takes octets and gives the events that they end. */
    List<Frame> accept(byte[] octets) {
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
                frame(pending.toByteArray(), frames);
                pending.reset();
                previous = 0;
                continue;
            }
            previous = current;
        }
        pending.write(octets, start, octets.length - start);
        return frames;
    }

    private void frame(byte[] octets, List<Frame> frames) {
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
            long id = number(line.substring(ID_FIELD.length()).trim());
            broken |= lastId != Long.MIN_VALUE && id <= lastId;
            lastId = id;
        }
    }

    private long number(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException notANumber) {
            // Ids that are no numbers cannot be checked; the stream passes as it is.
            return lastId == Long.MIN_VALUE ? Long.MIN_VALUE : lastId + 1;
        }
    }

    /** Whether an id came out of order or an event was too long. */
    boolean broken() {
        return broken;
    }

    /** Whether octets are left that end no event. */
    boolean incomplete() {
        return pending.size() > 0;
    }
}
