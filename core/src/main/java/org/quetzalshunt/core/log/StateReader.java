package org.quetzalshunt.core.log;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Function;
import java.util.zip.DataFormatException;
import java.util.zip.Inflater;
import org.agrona.concurrent.UnsafeBuffer;

/** Decodes a state that was encoded with a {@link StateWriter}. */
public final class StateReader {
    /** Above any real state; limits the memory that a small, corrupt compressed input can use. */
    private static final int MAXIMUM_BYTES = 1024 * 1024 * 1024;

    private final UnsafeBuffer buffer;
    private int position;

    private StateReader(byte[] bytes) {
        this.buffer = new UnsafeBuffer(bytes);
    }

    /**
     * Decodes an uncompressed state; empty if the bytes are truncated or the state is rejected.
     *
     * @param decoder reads the values in the order in which they were written; an empty result rejects the state
     */
    public static <T> Optional<T> readUncompressed(byte[] bytes, Function<StateReader, Optional<T>> decoder) {
        try {
            return decoder.apply(new StateReader(bytes));
        } catch (IndexOutOfBoundsException corrupt) {
            return Optional.empty();
        }
    }

    /**
     * Decodes a compressed state; empty if the bytes are corrupt or truncated or the state is rejected.
     *
     * @param decoder reads the values in the order in which they were written; an empty result rejects the state
     */
    public static <T> Optional<T> readCompressed(byte[] compressed, Function<StateReader, Optional<T>> decoder) {
        try {
            return decoder.apply(new StateReader(inflate(compressed)));
        } catch (DataFormatException | IndexOutOfBoundsException corrupt) {
            return Optional.empty();
        }
    }

    /** Reads a 32-bit integer. */
    public int getInt() {
        buffer.boundsCheck(position, Integer.BYTES);
        int value = buffer.getInt(position, StateWriter.ORDER);
        position += Integer.BYTES;
        return value;
    }

    /** Reads a 64-bit integer. */
    public long getLong() {
        buffer.boundsCheck(position, Long.BYTES);
        long value = buffer.getLong(position, StateWriter.ORDER);
        position += Long.BYTES;
        return value;
    }

    /** Reads a boolean. */
    public boolean getBoolean() {
        buffer.boundsCheck(position, Byte.BYTES);
        return buffer.getByte(position++) != 0;
    }

    /** Reads a byte array. */
    public byte[] getBytes() {
        int length = getInt();
        buffer.boundsCheck(position, length);
        byte[] bytes = new byte[length];
        buffer.getBytes(position, bytes);
        position += length;
        return bytes;
    }

    /** Reads a string. */
    public String getText() {
        return new String(getBytes(), StandardCharsets.UTF_8);
    }

    private static byte[] inflate(byte[] bytes) throws DataFormatException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(bytes);
            ByteArrayOutputStream out = new ByteArrayOutputStream(bytes.length);
            byte[] chunk = new byte[StateWriter.CHUNK_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(chunk);
                if (count == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    throw new DataFormatException("the compressed octets end early");
                }
                out.write(chunk, 0, count);
                if (out.size() > MAXIMUM_BYTES) {
                    throw new DataFormatException("the state is too large");
                }
            }
            return out.toByteArray();
        } finally {
            inflater.end();
        }
    }
}
