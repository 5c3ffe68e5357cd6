package org.quetzalshunt.app.load;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Extracts the data of server-sent events from a body received in parts (WHATWG HTML, section 9.2). */
final class SseReader {
    private static final String DATA = "data: ";

    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final Consumer<String> onData;

    private SseReader(Consumer<String> onData) {
        this.onData = onData;
    }

    static SseReader create(Consumer<String> onData) {
        return new SseReader(onData);
    }

    void read(byte[] part) {
        for (byte octet : part) {
            if (octet != '\n') {
                line.write(octet);
                continue;
            }
            String text = line.toString(StandardCharsets.UTF_8);
            line.reset();
            if (text.startsWith(DATA)) {
                onData.accept(text.substring(DATA.length()).strip());
            }
        }
    }
}
