package org.quetzalshunt.core.log;

import java.io.ByteArrayOutputStream;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.zip.Deflater;
import org.agrona.ExpandableArrayBuffer;

/** Encodes a state as a sequence of little-endian values, which {@link StateReader} reads in the same order. */
public final class StateWriter {
    static final ByteOrder ORDER = ByteOrder.LITTLE_ENDIAN;
    static final int CHUNK_BYTES = 64 * 1024;

    private final ExpandableArrayBuffer buffer = new ExpandableArrayBuffer(CHUNK_BYTES);
    private int position;

    private StateWriter() {}

    /** Creates an empty writer. */
    public static StateWriter create() {
        return new StateWriter();
    }

    /** Writes a 32-bit integer. */
    public void putInt(int value) {
        buffer.putInt(position, value, ORDER);
        position += Integer.BYTES;
    }

    /** Writes a 64-bit integer. */
    public void putLong(long value) {
        buffer.putLong(position, value, ORDER);
        position += Long.BYTES;
    }

    /** Writes a boolean as one byte. */
    public void putBoolean(boolean value) {
        buffer.putByte(position, (byte) (value ? 1 : 0));
        position += Byte.BYTES;
    }

    /** Writes a byte array, preceded by its length. */
    public void putBytes(byte[] bytes) {
        putInt(bytes.length);
        buffer.putBytes(position, bytes);
        position += bytes.length;
    }

    /** Writes a string in UTF-8, preceded by its length in bytes. */
    public void putText(String text) {
        putBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    /**
     * The written bytes, uncompressed. For large states, whose compression would block the thread that applies records.
     */
    public byte[] uncompressed() {
        byte[] bytes = new byte[position];
        buffer.getBytes(0, bytes);
        return bytes;
    }

    /** The written bytes, compressed with DEFLATE. */
    public byte[] compressed() {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(buffer.byteArray(), 0, position);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] chunk = new byte[CHUNK_BYTES];
            while (!deflater.finished()) {
                out.write(chunk, 0, deflater.deflate(chunk));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }
}
