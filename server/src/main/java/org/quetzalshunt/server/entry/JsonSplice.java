package org.quetzalshunt.server.entry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Inserts messages that are already encoded as JSON into a JSON object, without parsing a long history again. */
final class JsonSplice {
    private static final byte[] FIELD_START = ",\"messages\":[".getBytes(StandardCharsets.UTF_8);
    private static final byte[] FIELD_END = "]}".getBytes(StandardCharsets.UTF_8);

    private JsonSplice() {}

    /** Adds a field {@code messages} to an encoded JSON object, which must have at least one field. */
    static byte[] withMessages(byte[] object, List<byte[]> messages) {
        int length = object.length + FIELD_START.length + FIELD_END.length;
        for (byte[] message : messages) {
            length += message.length + 1;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream(length);
        out.write(object, 0, object.length - 1);
        out.write(FIELD_START, 0, FIELD_START.length);
        for (int index = 0; index < messages.size(); index++) {
            if (index > 0) {
                out.write(',');
            }
            out.write(messages.get(index), 0, messages.get(index).length);
        }
        out.write(FIELD_END, 0, FIELD_END.length);
        return out.toByteArray();
    }
}
