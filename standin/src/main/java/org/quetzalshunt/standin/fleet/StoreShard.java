package org.quetzalshunt.standin.fleet;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SortedMap;
import java.util.TreeMap;

/** One partition of a topic: its records in their order, and the newest of each key. */
final class StoreShard {
    /** The newest record of a key. */
    record Newest(long offset, byte[] value) {}

    private final List<byte[]> records = new ArrayList<>();
    private final TreeMap<String, Newest> newest = new TreeMap<>();
    private long first;

    long end() {
        return first + records.size();
    }

    long first() {
        return first;
    }

    void append(byte[] record) {
        int keyLength = record[0] & 0xff;
        String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(record, 1 + keyLength, record.length);
        if (value.length == 0) {
            newest.remove(key);
        } else {
            newest.put(key, new Newest(end(), value));
        }
        records.add(record);
    }

    byte[] read(long from) {
        List<byte[]> wanted = records.subList((int) Math.min(records.size(), from - first), records.size());
        int length = 2 * Long.BYTES;
        for (byte[] record : wanted) {
            length += Integer.BYTES + record.length;
        }
        ByteBuffer buffer = ByteBuffer.allocate(length).putLong(end()).putLong(first);
        wanted.forEach(record -> buffer.putInt(record.length).put(record));
        return buffer.array();
    }

    SortedMap<String, Newest> newestAfter(String key) {
        return newest.tailMap(key, false);
    }

    /** Forgets the history; the newest record of each key stays. */
    void dropHistory() {
        first = end();
        records.clear();
    }
}
