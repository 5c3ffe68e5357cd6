package org.quetzalshunt.core.attempt;

import java.io.ByteArrayOutputStream;
import java.util.Arrays;
import java.util.function.Consumer;

/**
 * Incremental parser for event streams (WHATWG HTML, section 9.2.6) that emits the data of each event as soon as it
 * ends. Lines may end in CR LF, LF or CR, and the input may be split anywhere. Several data lines of an event are
 * joined by LF. Comments and fields other than data are ignored, and an event without its closing blank line is not
 * emitted.
 */
public final class EventStreamParser {
    /** A chunk of a chat completion has a few hundred bytes; one with a long tool call stays far below this limit. */
    public static final int MAXIMUM_EVENT_BYTES = 1024 * 1024;

    private static final byte[] BYTE_ORDER_MARK = {(byte) 0xEF, (byte) 0xBB, (byte) 0xBF};
    private static final byte[] DATA_FIELD = {'d', 'a', 't', 'a'};

    private final Consumer<byte[]> events;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final ByteArrayOutputStream data = new ByteArrayOutputStream();
    private boolean hasData;
    private boolean isFirstLine = true;
    private boolean skipLineFeed;
    private boolean isLimitExceeded;

    private EventStreamParser(Consumer<byte[]> events) {
        this.events = events;
    }

    /** Creates a parser at the start of a stream. */
    public static EventStreamParser create(Consumer<byte[]> events) {
        return new EventStreamParser(events);
    }

    /**
     * Parses the next bytes. Returns false once a line or an event exceeds {@link #MAXIMUM_EVENT_BYTES}, after which no
     * event is emitted.
     */
    public boolean accept(byte[] bytes) {
        int start = 0;
        for (int index = 0; index < bytes.length && !isLimitExceeded; index++) {
            byte current = bytes[index];
            if (skipLineFeed) {
                skipLineFeed = false;
                if (current == '\n') {
                    start = index + 1;
                    continue;
                }
            }
            if (current == '\n' || current == '\r') {
                append(bytes, start, index);
                start = index + 1;
                skipLineFeed = current == '\r';
                if (!isLimitExceeded) {
                    endLine();
                }
            }
        }
        append(bytes, start, bytes.length);
        return !isLimitExceeded;
    }

    private void append(byte[] bytes, int start, int end) {
        if (line.size() + (end - start) > MAXIMUM_EVENT_BYTES) {
            isLimitExceeded = true;
            return;
        }
        line.write(bytes, start, end - start);
    }

    private void endLine() {
        byte[] content = withoutByteOrderMark(line.toByteArray());
        line.reset();
        isFirstLine = false;
        if (content.length == 0) {
            endEvent();
            return;
        }
        if (!startsWith(content, DATA_FIELD)) {
            return;
        }
        if (content.length == DATA_FIELD.length) {
            addData(content, content.length);
        } else if (content[DATA_FIELD.length] == ':') {
            addData(content, valueStart(content));
        }
    }

    private void addData(byte[] content, int start) {
        if (data.size() + content.length > MAXIMUM_EVENT_BYTES) {
            isLimitExceeded = true;
            return;
        }
        if (hasData) {
            data.write('\n');
        }
        hasData = true;
        data.write(content, start, content.length - start);
    }

    private void endEvent() {
        if (!hasData) {
            return;
        }
        byte[] event = data.toByteArray();
        data.reset();
        hasData = false;
        events.accept(event);
    }

    private static int valueStart(byte[] content) {
        int afterColon = DATA_FIELD.length + 1;
        boolean spaced = content.length > afterColon && content[afterColon] == ' ';
        return spaced ? afterColon + 1 : afterColon;
    }

    private byte[] withoutByteOrderMark(byte[] content) {
        if (!isFirstLine || !startsWith(content, BYTE_ORDER_MARK)) {
            return content;
        }
        return Arrays.copyOfRange(content, BYTE_ORDER_MARK.length, content.length);
    }

    private static boolean startsWith(byte[] content, byte[] prefix) {
        return content.length >= prefix.length && Arrays.equals(content, 0, prefix.length, prefix, 0, prefix.length);
    }
}
