package org.quetzalshunt.core.configuration;

import java.io.ByteArrayOutputStream;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.Inflater;
import org.agrona.ExpandableArrayBuffer;
import org.agrona.concurrent.UnsafeBuffer;

/**
 * Binary form of a {@link ConfigurationState}, deflated: count of records, then offset, length and octets of each;
 * count of outcomes, then the change's id, whether it was accepted and its version.
 */
final class CheckpointForm {
    private static final ByteOrder ORDER = ByteOrder.LITTLE_ENDIAN;
    private static final int CHUNK = 8_192;

    /** A state is bounded by its tables; more than this is no checkpoint of this program. */
    private static final int MAXIMUM_BYTES = 128 * 1024 * 1024;

    private CheckpointForm() {}

    static byte[] encode(ConfigurationState state) {
        ExpandableArrayBuffer buffer = new ExpandableArrayBuffer(CHUNK);
        int position = putInt(buffer, 0, state.records().size());
        for (AcceptedRecord record : state.records()) {
            buffer.putLong(position, record.offset(), ORDER);
            position = putBytes(buffer, position + Long.BYTES, record.record());
        }
        position = putInt(buffer, position, state.outcomes().size());
        for (var entry : state.outcomes().entrySet()) {
            position = putBytes(buffer, position, entry.getKey().getBytes(StandardCharsets.UTF_8));
            buffer.putByte(position, (byte) (entry.getValue().accepted() ? 1 : 0));
            position += Byte.BYTES;
            buffer.putLong(position, entry.getValue().version(), ORDER);
            position += Long.BYTES;
        }
        return deflate(buffer.byteArray(), position);
    }

    /** Reads a state; empty when the octets are no state, or hold a record that the reader cannot read. */
    static Optional<ConfigurationState> decode(byte[] octets, RecordReader reader) {
        try {
            return read(new UnsafeBuffer(inflate(octets)), reader);
        } catch (DataFormatException | IndexOutOfBoundsException | NegativeArraySizeException noState) {
            return Optional.empty();
        }
    }

    private static Optional<ConfigurationState> read(UnsafeBuffer buffer, RecordReader reader) {
        ConfigurationState state = new ConfigurationState();
        int records = buffer.getInt(0, ORDER);
        int position = Integer.BYTES;
        for (int index = 0; index < records; index++) {
            long offset = buffer.getLong(position, ORDER);
            byte[] record = getBytes(buffer, position + Long.BYTES);
            position += Long.BYTES + Integer.BYTES + record.length;
            Optional<ConfigurationChange> change = reader.read(record);
            if (change.isEmpty() || !state.restore(new AcceptedRecord(offset, record), change.get())) {
                return Optional.empty();
            }
        }
        int outcomes = buffer.getInt(position, ORDER);
        position += Integer.BYTES;
        for (int index = 0; index < outcomes; index++) {
            byte[] changeId = getBytes(buffer, position);
            position += Integer.BYTES + changeId.length;
            boolean accepted = buffer.getByte(position) != 0;
            long version = buffer.getLong(position + Byte.BYTES, ORDER);
            position += Byte.BYTES + Long.BYTES;
            state.restoreOutcome(new String(changeId, StandardCharsets.UTF_8), new ChangeOutcome(accepted, version));
        }
        return Optional.of(state);
    }

    private static int putInt(ExpandableArrayBuffer buffer, int position, int value) {
        buffer.putInt(position, value, ORDER);
        return position + Integer.BYTES;
    }

    private static int putBytes(ExpandableArrayBuffer buffer, int position, byte[] octets) {
        buffer.putInt(position, octets.length, ORDER);
        buffer.putBytes(position + Integer.BYTES, octets);
        return position + Integer.BYTES + octets.length;
    }

    private static byte[] getBytes(UnsafeBuffer buffer, int position) {
        int length = buffer.getInt(position, ORDER);
        buffer.boundsCheck(position + Integer.BYTES, length);
        byte[] octets = new byte[length];
        buffer.getBytes(position + Integer.BYTES, octets);
        return octets;
    }

    private static byte[] deflate(byte[] octets, int length) {
        Deflater deflater = new Deflater();
        try {
            deflater.setInput(octets, 0, length);
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

    private static byte[] inflate(byte[] octets) throws DataFormatException {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(octets);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            byte[] chunk = new byte[CHUNK];
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
