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
 * Cuts the octets of a state into parts that a record can hold, and joins them. Each part starts with the checksum of
 * the whole, so that parts of two checkpoints of the same offset, written by two VMs, are never joined to one.
 */
public final class CheckpointParts {
    private static final int MAXIMUM_PARTS = 4_096;
    private static final int UNFINISHED = 4;

    private final Map<Key, byte[][]> unfinished = new LinkedHashMap<>();

    private CheckpointParts() {}

    /** Makes a joiner that holds no part yet. */
    public static CheckpointParts create() {
        return new CheckpointParts();
    }

    /**
     * Cuts a state; at least one part.
     *
     * @param maximumPartBytes octets of state in one part, beside its checksum
     */
    public static List<byte[]> cut(byte[] state, int maximumPartBytes) {
        int parts = Math.max(1, (state.length + maximumPartBytes - 1) / maximumPartBytes);
        long checksum = checksum(state);
        List<byte[]> cut = new ArrayList<>(parts);
        for (int part = 0; part < parts; part++) {
            int from = part * maximumPartBytes;
            int length = Math.min(maximumPartBytes, state.length - from);
            byte[] octets = new byte[Long.BYTES + length];
            new UnsafeBuffer(octets).putLong(0, checksum);
            System.arraycopy(state, from, octets, Long.BYTES, length);
            cut.add(octets);
        }
        return cut;
    }

    /**
     * Takes a part; gives the state when it was the last one missing.
     *
     * @param coversBelow offset that the checkpoint names
     * @param part number of the part, from 0
     * @param parts number of parts
     */
    public Optional<byte[]> add(long coversBelow, int part, int parts, byte[] octets) {
        if (parts < 1 || parts > MAXIMUM_PARTS || part < 0 || part >= parts || octets.length < Long.BYTES) {
            return Optional.empty();
        }
        long checksum = new UnsafeBuffer(octets).getLong(0);
        Key key = new Key(coversBelow, parts, checksum);
        byte[][] known = unfinished.computeIfAbsent(key, ignored -> new byte[parts][]);
        known[part] = Arrays.copyOfRange(octets, Long.BYTES, octets.length);
        if (Arrays.stream(known).anyMatch(missing -> missing == null)) {
            bound();
            return Optional.empty();
        }
        unfinished.remove(key);
        byte[] state = join(known);
        return checksum(state) == checksum ? Optional.of(state) : Optional.empty();
    }

    private void bound() {
        if (unfinished.size() > UNFINISHED) {
            unfinished.remove(unfinished.keySet().iterator().next());
        }
    }

    private static byte[] join(byte[][] parts) {
        byte[] whole =
                new byte[Arrays.stream(parts).mapToInt(part -> part.length).sum()];
        int position = 0;
        for (byte[] part : parts) {
            System.arraycopy(part, 0, whole, position, part.length);
            position += part.length;
        }
        return whole;
    }

    private static long checksum(byte[] octets) {
        CRC32 checksum = new CRC32();
        checksum.update(octets);
        return checksum.getValue();
    }

    private record Key(long coversBelow, int parts, long checksum) {}
}
