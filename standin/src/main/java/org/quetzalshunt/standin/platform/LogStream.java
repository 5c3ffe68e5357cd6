package org.quetzalshunt.standin.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BinaryNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.agrona.collections.Long2ObjectHashMap;
import org.quetzalshunt.wire.json.Json;

/** One stream: records at contiguous offsets, dropped from the front by age, and the readers that wait at its end. */
final class LogStream {
    private final Long2ObjectHashMap<Entry> entries = new Long2ObjectHashMap<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private long first;
    private long next;

    private LogStream() {}

    static LogStream create() {
        return new LogStream();
    }

    long append(byte[] data, long nowMillis) {
        long offset = next;
        entries.put(offset, new Entry(BinaryNode.valueOf(data), nowMillis));
        next++;
        return offset;
    }

    long next() {
        return next;
    }

    void dropOlderThan(long millis) {
        while (first < next && entries.get(first).appendedMillis() < millis) {
            entries.remove(first);
            first++;
        }
    }

    /** Body of a read; holds one record at least, if there is one, so that a reader always gets on. */
    byte[] read(long from, long maximumBytes) {
        ObjectNode root = Json.object().put("first", first).put("next", next);
        ArrayNode records = root.putArray("records");
        long bytes = 0;
        for (long offset = Math.max(from, first); offset < next; offset++) {
            BinaryNode data = entries.get(offset).data();
            bytes += data.binaryValue().length;
            if (bytes > maximumBytes && !records.isEmpty()) {
                break;
            }
            records.addObject().put("offset", offset).set("data", data);
        }
        return Json.bytes(root);
    }

    void await(Runnable reader) {
        waiting.add(reader);
    }

    void forget(Runnable reader) {
        waiting.remove(reader);
    }

    void wakeReaders() {
        List<Runnable> woken = List.copyOf(waiting);
        waiting.clear();
        woken.forEach(Runnable::run);
    }

    private record Entry(BinaryNode data, long appendedMillis) {}
}
