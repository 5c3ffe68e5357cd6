package org.quetzalshunt.standin.platform;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.BinaryNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.agrona.collections.Long2ObjectHashMap;
import org.quetzalshunt.wire.json.Json;

/**
 * Stream of the log service: records at contiguous offsets, of which the oldest are dropped by age, and the readers
 * that wait for the next append.
 */
final class LogStream {
    private final Long2ObjectHashMap<Entry> entries = new Long2ObjectHashMap<>();
    private final List<Runnable> waitingReaders = new ArrayList<>();
    private long firstOffset;
    private long nextOffset;

    private LogStream() {}

    static LogStream create() {
        return new LogStream();
    }

    long append(byte[] data, long nowMillis) {
        long offset = nextOffset;
        entries.put(offset, new Entry(BinaryNode.valueOf(data), nowMillis));
        nextOffset++;
        return offset;
    }

    long nextOffset() {
        return nextOffset;
    }

    void dropOlderThan(long millis) {
        while (firstOffset < nextOffset && entries.get(firstOffset).appendedMillis() < millis) {
            entries.remove(firstOffset);
            firstOffset++;
        }
    }

    /**
     * Body of a read response. Contains at least one record if there is any, so that a reader always makes progress.
     */
    byte[] read(long from, long maximumBytes) {
        ObjectNode root = Json.object().put("first", firstOffset).put("next", nextOffset);
        ArrayNode records = root.putArray("records");
        long bytes = 0;
        for (long offset = Math.max(from, firstOffset); offset < nextOffset; offset++) {
            BinaryNode data = entries.get(offset).data();
            bytes += data.binaryValue().length;
            if (bytes > maximumBytes && !records.isEmpty()) {
                break;
            }
            records.addObject().put("offset", offset).set("data", data);
        }
        return Json.bytes(root);
    }

    void addWaitingReader(Runnable reader) {
        waitingReaders.add(reader);
    }

    void removeWaitingReader(Runnable reader) {
        waitingReaders.remove(reader);
    }

    void wakeReaders() {
        List<Runnable> woken = List.copyOf(waitingReaders);
        waitingReaders.clear();
        woken.forEach(Runnable::run);
    }

    private record Entry(BinaryNode data, long appendedMillis) {}
}
