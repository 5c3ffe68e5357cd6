package org.quetzalshunt.core.log;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.CRC32;
import org.agrona.concurrent.UnsafeBuffer;

/**
 * Splits an encoded state into parts that fit into a record, and reassembles them. Each part starts with the checksum
 * of the whole state, so that parts of two checkpoints of the same offset, written by two VMs, are never combined.
 */
public final class CheckpointParts {
    private static final int MAXIMUM_PARTS = 4_096;
    private static final int MAXIMUM_UNFINISHED = 4;

    private final Map<Key, byte[][]> unfinished = new LinkedHashMap<>();

    private CheckpointParts() {}

    /** Creates an assembler without parts. */
    public static CheckpointParts create() {
        return new CheckpointParts();
    }

    /**
     * Splits a state into one or more parts.
     *
     * @param maximumPartBytes maximum bytes of state in one part, not counting its checksum
     */
    public static List<byte[]> split(byte[] state, int maximumPartBytes) {
        int parts = Math.max(1, (state.length + maximumPartBytes - 1) / maximumPartBytes);
        long checksum = checksum(state);
        List<byte[]> split = new ArrayList<>(parts);
        for (int part = 0; part < parts; part++) {
            int from = part * maximumPartBytes;
            int length = Math.min(maximumPartBytes, state.length - from);
            byte[] octets = new byte[Long.BYTES + length];
            new UnsafeBuffer(octets).putLong(0, checksum);
            System.arraycopy(state, from, octets, Long.BYTES, length);
            split.add(octets);
        }
        return split;
    }

    /**
     * Adds a part. Returns the state if the part completes it and the checksum is correct.
     *
     * @param coversBelow offset below which the checkpoint covers the stream
     * @param part number of the part, from 0
     * @param parts number of parts
     */
    public Optional<byte[]> add(long coversBelow, int part, int parts, byte[] octets) {
        if (parts < 1 || parts > MAXIMUM_PARTS || part < 0 || part >= parts || octets.length < Long.BYTES) {
            return Optional.empty();
        }
        long checksum = new UnsafeBuffer(octets).getLong(0);
        Key key = new Key(coversBelow, parts, checksum);
        byte[][] collected = unfinished.computeIfAbsent(key, ignored -> new byte[parts][]);
        collected[part] = Arrays.copyOfRange(octets, Long.BYTES, octets.length);
        if (Arrays.stream(collected).anyMatch(received -> received == null)) {
            evictOldest();
            return Optional.empty();
        }
        unfinished.remove(key);
        byte[] state = join(collected);
        return checksum(state) == checksum ? Optional.of(state) : Optional.empty();
    }

    private void evictOldest() {
        if (unfinished.size() > MAXIMUM_UNFINISHED) {
            unfinished.remove(unfinished.keySet().iterator().next());
        }
    }

    private static byte[] join(byte[][] parts) {
        byte[] joined =
                new byte[Arrays.stream(parts).mapToInt(part -> part.length).sum()];
        int position = 0;
        for (byte[] part : parts) {
            System.arraycopy(part, 0, joined, position, part.length);
            position += part.length;
        }
        return joined;
    }

    private static long checksum(byte[] octets) {
        CRC32 checksum = new CRC32();
        checksum.update(octets);
        return checksum.getValue();
    }

    private record Key(long coversBelow, int parts, long checksum) {}
}
