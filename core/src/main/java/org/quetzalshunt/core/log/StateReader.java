package org.quetzalshunt.core.log;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.function.Function;
import java.util.zip.DataFormatException;
import java.util.zip.Inflater;
import org.agrona.concurrent.UnsafeBuffer;

/** Reads what a {@link StateWriter} wrote. */
public final class StateReader {
    /** More than this is no state of this program; it bounds what a few octets can unfold to. */
    private static final int MAXIMUM_BYTES = 1024 * 1024 * 1024;

    private final UnsafeBuffer buffer;
    private int position;

    private StateReader(byte[] octets) {
        this.buffer = new UnsafeBuffer(octets);
    }

    /**
     * Reads a whole state that was not deflated; empty when the octets are none.
     *
     * @param form reads the values in the order in which they were written; an empty result refuses the state
     */
    public static <T> Optional<T> readPlain(byte[] octets, Function<StateReader, Optional<T>> form) {
        try {
            return form.apply(new StateReader(octets));
        } catch (IndexOutOfBoundsException noState) {
            return Optional.empty();
        }
    }

    /**
     * Reads a whole deflated state; empty when the octets are none.
     *
     * @param form reads the values in the order in which they were written; an empty result refuses the state
     */
    public static <T> Optional<T> read(byte[] deflated, Function<StateReader, Optional<T>> form) {
        try {
            return form.apply(new StateReader(inflate(deflated)));
        } catch (DataFormatException | IndexOutOfBoundsException noState) {
            return Optional.empty();
        }
    }

    /** Reads a number of 32 bits. */
    public int getInt() {
        buffer.boundsCheck(position, Integer.BYTES);
        int value = buffer.getInt(position, StateWriter.ORDER);
        position += Integer.BYTES;
        return value;
    }

    /** Reads a number of 64 bits. */
    public long getLong() {
        buffer.boundsCheck(position, Long.BYTES);
        long value = buffer.getLong(position, StateWriter.ORDER);
        position += Long.BYTES;
        return value;
    }

    /** Reads a truth value. */
    public boolean getBoolean() {
        buffer.boundsCheck(position, Byte.BYTES);
        return buffer.getByte(position++) != 0;
    }

    /** Reads octets. */
    public byte[] getBytes() {
        int length = getInt();
        buffer.boundsCheck(position, length);
        byte[] octets = new byte[length];
        buffer.getBytes(position, octets);
        position += length;
        return octets;
    }

    /** Reads a text. */
    public String getText() {
        return new String(getBytes(), StandardCharsets.UTF_8);
    }

    private static byte[] inflate(byte[] octets) throws DataFormatException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(octets);
            ByteArrayOutputStream out = new ByteArrayOutputStream(octets.length);
            byte[] chunk = new byte[StateWriter.CHUNK];
            while (!inflater.finished()) {
                int count = inflater.inflate(chunk);
                if (count == 0 && (inflater.needsInput() || inflater.needsDictionary())) {
                    throw new DataFormatException("the octets end early");
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
