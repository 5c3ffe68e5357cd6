package org.quetzalshunt.core.log;

import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.agrona.concurrent.UnsafeBuffer;

/**
 * Binary encoding of a {@link Batch}, little-endian: version byte, sequence, base, length and bytes of the writer's id,
 * number of records, then length and bytes of each record.
 */
final class BatchFrame {
    private static final byte VERSION = 1;
    private static final int MAXIMUM_WRITER_BYTES = 512;
    private static final int FIXED_BYTES = Byte.BYTES + Long.BYTES + Long.BYTES + Integer.BYTES + Integer.BYTES;
    private static final ByteOrder ORDER = ByteOrder.LITTLE_ENDIAN;

    private BatchFrame() {}

    static int overhead(String writer) {
        return FIXED_BYTES + writer.getBytes(StandardCharsets.UTF_8).length;
    }

    static int recordBytes(byte[] record) {
        return Integer.BYTES + record.length;
    }

    static byte[] encode(Batch batch) {
        byte[] writer = batch.writer().getBytes(StandardCharsets.UTF_8);
        int length = FIXED_BYTES + writer.length;
        for (byte[] record : batch.records()) {
            length += recordBytes(record);
        }
        byte[] frame = new byte[length];
        UnsafeBuffer buffer = new UnsafeBuffer(frame);
        int position = 0;
        buffer.putByte(position, VERSION);
        position += Byte.BYTES;
        buffer.putLong(position, batch.sequence(), ORDER);
        position += Long.BYTES;
        buffer.putLong(position, batch.basedOn(), ORDER);
        position += Long.BYTES;
        position = putBytes(buffer, position, writer);
        buffer.putInt(position, batch.records().size(), ORDER);
        position += Integer.BYTES;
        for (byte[] record : batch.records()) {
            position = putBytes(buffer, position, record);
        }
        return frame;
    }

    /** Decodes a frame; empty if the bytes are malformed, since other software may have appended them. */
    static Optional<Batch> decode(byte[] frame) {
        if (frame.length < FIXED_BYTES || frame[0] != VERSION) {
            return Optional.empty();
        }
        UnsafeBuffer buffer = new UnsafeBuffer(frame);
        int position = Byte.BYTES;
        long sequence = buffer.getLong(position, ORDER);
        position += Long.BYTES;
        long basedOn = buffer.getLong(position, ORDER);
        position += Long.BYTES;
        int writerLength = buffer.getInt(position, ORDER);
        position += Integer.BYTES;
        if (writerLength < 0 || writerLength > MAXIMUM_WRITER_BYTES || writerLength > frame.length - FIXED_BYTES) {
            return Optional.empty();
        }
        String writer = new String(frame, position, writerLength, StandardCharsets.UTF_8);
        position += writerLength;
        return decodeRecords(buffer, position).map(records -> new Batch(writer, sequence, basedOn, records));
    }

    private static Optional<List<byte[]>> decodeRecords(UnsafeBuffer buffer, int start) {
        int position = start;
        int count = buffer.getInt(position, ORDER);
        position += Integer.BYTES;
        if (count < 0 || count > (buffer.capacity() - position) / Integer.BYTES) {
            return Optional.empty();
        }
        List<byte[]> records = new ArrayList<>(count);
        for (int index = 0; index < count; index++) {
            if (buffer.capacity() - position < Integer.BYTES) {
                return Optional.empty();
            }
            int length = buffer.getInt(position, ORDER);
            position += Integer.BYTES;
            if (length < 0 || length > buffer.capacity() - position) {
                return Optional.empty();
            }
            byte[] record = new byte[length];
            buffer.getBytes(position, record);
            position += length;
            records.add(record);
        }
        return position == buffer.capacity() ? Optional.of(records) : Optional.empty();
    }

    private static int putBytes(UnsafeBuffer buffer, int position, byte[] octets) {
        buffer.putInt(position, octets.length, ORDER);
        buffer.putBytes(position + Integer.BYTES, octets);
        return position + Integer.BYTES + octets.length;
    }
}
