package org.quetzalshunt.server.entry;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Puts messages, already JSON, into a JSON object without parsing a long history again. */
final class Splice {
    private static final byte[] FIELD = ",\"messages\":[".getBytes(StandardCharsets.UTF_8);
    private static final byte[] END = "]}".getBytes(StandardCharsets.UTF_8);

    private Splice() {}

    /** The object must not be empty; its closing brace is replaced. */
    static byte[] withMessages(byte[] object, List<byte[]> messages) {
        int length = object.length + FIELD.length + END.length;
        for (byte[] message : messages) {
            length += message.length + 1;
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream(length);
        out.write(object, 0, object.length - 1);
        out.write(FIELD, 0, FIELD.length);
        for (int index = 0; index < messages.size(); index++) {
            if (index > 0) {
                out.write(',');
            }
            out.write(messages.get(index), 0, messages.get(index).length);
        }
        out.write(END, 0, END.length);
        return out.toByteArray();
    }
}
