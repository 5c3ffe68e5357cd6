package org.quetzalshunt.core.configuration;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.zip.CRC32;
import org.agrona.concurrent.UnsafeBuffer;
import org.quetzalshunt.core.configuration.ConfigurationChange.CheckpointChange;

/**
 * Cuts a state into parts that a record can hold, and joins them. Each part starts with the checksum of the whole, so
 * that parts of two checkpoints of the same offset, written by two VMs, are never joined to one.
 */
final class CheckpointParts {
    private static final int MAXIMUM_PARTS = 1_024;
    private static final int UNFINISHED = 4;

    private final Map<Key, byte[][]> unfinished = new LinkedHashMap<>();

    static List<CheckpointChange> cut(long coversBelow, byte[] state, int maximumPartBytes) {
        int parts = Math.max(1, (state.length + maximumPartBytes - 1) / maximumPartBytes);
        long checksum = checksum(state);
        List<CheckpointChange> changes = new ArrayList<>(parts);
        for (int part = 0; part < parts; part++) {
            int from = part * maximumPartBytes;
            int length = Math.min(maximumPartBytes, state.length - from);
            byte[] octets = new byte[Long.BYTES + length];
            new UnsafeBuffer(octets).putLong(0, checksum);
            System.arraycopy(state, from, octets, Long.BYTES, length);
            changes.add(new CheckpointChange(coversBelow, part, parts, octets));
        }
        return changes;
    }

    /** Takes a part; gives the state when it was the last one missing. */
    Optional<byte[]> add(CheckpointChange change) {
        if (change.parts() < 1 || change.parts() > MAXIMUM_PARTS || change.state().length < Long.BYTES) {
            return Optional.empty();
        }
        if (change.part() < 0 || change.part() >= change.parts()) {
            return Optional.empty();
        }
        long checksum = new UnsafeBuffer(change.state()).getLong(0);
        Key key = new Key(change.coversBelow(), change.parts(), checksum);
        byte[][] parts = unfinished.computeIfAbsent(key, ignored -> new byte[change.parts()][]);
        parts[change.part()] = Arrays.copyOfRange(change.state(), Long.BYTES, change.state().length);
        if (Arrays.stream(parts).anyMatch(part -> part == null)) {
            bound();
            return Optional.empty();
        }
        unfinished.remove(key);
        byte[] state = join(parts);
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
