package org.quetzalshunt.app.load;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Extracts the data of server-sent events (WHATWG HTML, section 9.2) from a body that is received in chunks. Supports
 * only the format that the entries send: lines end in LF, and each event has a single {@code data} line.
 */
final class SseReader {
    private static final String DATA_PREFIX = "data: ";

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final Consumer<String> onData;

    private SseReader(Consumer<String> onData) {
        this.onData = onData;
    }

    static SseReader create(Consumer<String> onData) {
        return new SseReader(onData);
    }

    void read(byte[] chunk) {
        for (byte octet : chunk) {
            if (octet != '\n') {
                line.write(octet);
                continue;
            }
            String text = line.toString(StandardCharsets.UTF_8);
            line.reset();
            if (text.startsWith(DATA_PREFIX)) {
                onData.accept(text.substring(DATA_PREFIX.length()).strip());
            }
        }
    }
}
