package org.quetzalshunt.standin.fleet;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/** One partition of a topic: its records in order of their offsets, and the newest record of each key. */
final class StoreShard {
    /** The newest record of a key. */
    record Newest(long offset, byte[] value) {}

    private final List<byte[]> records = new ArrayList<>();
    private final TreeMap<String, Newest> newest = new TreeMap<>();
    private long firstOffset;

    long endOffset() {
        return firstOffset + records.size();
    }

    long firstOffset() {
        return firstOffset;
    }

    void append(byte[] record) {
        int keyLength = record[0] & 0xff;
        String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(record, 1 + keyLength, record.length);
        if (value.length == 0) {
            newest.remove(key);
        } else {
            newest.put(key, new Newest(endOffset(), value));
        }
        records.add(record);
    }

    byte[] read(long from) {
        List<byte[]> requested = records.subList((int) Math.min(records.size(), from - firstOffset), records.size());
        int length = 2 * Long.BYTES;
        for (byte[] record : requested) {
            length += Integer.BYTES + record.length;
        }
        ByteBuffer buffer = ByteBuffer.allocate(length).putLong(endOffset()).putLong(firstOffset);
        requested.forEach(record -> buffer.putInt(record.length).put(record));
        return buffer.array();
    }

    SortedMap<String, Newest> newestAfter(String key) {
        return newest.tailMap(key, false);
    }

    /** Removes all records, as retention does. The table of the newest record of each key is unaffected. */
    void dropHistory() {
        firstOffset = endOffset();
        records.clear();
    }
}
