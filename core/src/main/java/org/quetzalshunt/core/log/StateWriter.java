package org.quetzalshunt.core.log;

import java.io.ByteArrayOutputStream;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.zip.Deflater;
import org.agrona.ExpandableArrayBuffer;

/** Writes the values of a state one behind the other, little-endian; {@link StateReader} reads them in the same order. */
public final class StateWriter {
    static final ByteOrder ORDER = ByteOrder.LITTLE_ENDIAN;
    static final int CHUNK = 64 * 1024;

    private final ExpandableArrayBuffer buffer = new ExpandableArrayBuffer(CHUNK);
    private int position;

    private StateWriter() {}

    /** Makes a writer without values. */
    public static StateWriter create() {
        return new StateWriter();
    }

    /** Writes a number of 32 bits. */
    public void putInt(int value) {
        buffer.putInt(position, value, ORDER);
        position += Integer.BYTES;
    }

    /** Writes a number of 64 bits. */
    public void putLong(long value) {
        buffer.putLong(position, value, ORDER);
        position += Long.BYTES;
    }

    /** Writes a truth value. */
    public void putBoolean(boolean value) {
        buffer.putByte(position, (byte) (value ? 1 : 0));
        position += Byte.BYTES;
    }

    /** Writes octets with their length. */
    public void putBytes(byte[] octets) {
        putInt(octets.length);
        buffer.putBytes(position, octets);
        position += octets.length;
    }

    /** Writes a text with its length. */
    public void putText(String text) {
        putBytes(text.getBytes(StandardCharsets.UTF_8));
    }

    /** What was written, as it is: for a large state, whose deflation would hold the folding thread up. */
    public byte[] octets() {
        byte[] octets = new byte[position];
        buffer.getBytes(0, octets);
        return octets;
    }

    /** What was written, deflated. */
    public byte[] deflated() {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(buffer.byteArray(), 0, position);
            deflater.finish();
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] chunk = new byte[CHUNK];
            while (!deflater.finished()) {
                out.write(chunk, 0, deflater.deflate(chunk));
            }
            return out.toByteArray();
        } finally {
            deflater.end();
        }
    }
}
