package review2;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

/**
 * The platform's store as PROTOCOL.md describes it, as far as a gateway uses it: keyed topics with conditional appends,
 * reads that wait, and the newest record of each key. History expires after its retention time; the newest record of
 * each key is retained. Appends get 507 while more than the limit is stored; only the newest records are counted, once
 * each.
 */
final class Store implements AutoCloseable {
    /** 400 MB, in the larger of its two readings. */
    static final long LIMIT_BYTES = 400L << 20;

    private static final long HISTORY_MILLIS = 20_000;
    private static final int PAGE_ITEMS = 500;
    private static final int PAGE_BYTES = 1_000_000;

    private record Stored(byte[] bytes, long atMillis) {}

    private record Newest(byte[] value, long offset) {}

    private static final class Partition {
        final ArrayDeque<Stored> history = new ArrayDeque<>();
        final TreeMap<String, Newest> newest = new TreeMap<>();
        long first;
        long end;
    }

    private final ServerSocket listener;
    private final Map<String, Partition> partitions = new HashMap<>();
    private long storedBytes;
    private long refusedAppends;
    private long removals;

    Store() throws IOException {
        listener = new ServerSocket(0, 512, InetAddress.getLoopbackAddress());
        Thread accepting = new Thread(this::accept, "store");
        accepting.setDaemon(true);
        accepting.start();
    }

    int port() {
        return listener.getLocalPort();
    }

    synchronized long storedBytes() {
        return storedBytes;
    }

    /** Keys and bytes of the newest records of the topics with a prefix. */
    synchronized String summary(String prefix) {
        long keys = 0;
        long bytes = 0;
        for (Map.Entry<String, Partition> entry : partitions.entrySet()) {
            if (entry.getKey().startsWith(prefix)) {
                for (Map.Entry<String, Newest> record : entry.getValue().newest.entrySet()) {
                    keys++;
                    bytes += record.getKey().length() + record.getValue().value().length;
                }
            }
        }
        return keys + " keys, " + bytes + " bytes";
    }

    synchronized long refusedAppends() {
        return refusedAppends;
    }

    synchronized long removals() {
        return removals;
    }

    /** Writes a record as the operator or a server does. */
    synchronized void put(String topic, String key, String value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        byte[] bytes = value.getBytes(StandardCharsets.UTF_8);
        byte[] record = ByteBuffer.allocate(1 + name.length + bytes.length)
                .put((byte) name.length)
                .put(name)
                .put(bytes)
                .array();
        append(partition(topic, "0"), record);
        notifyAll();
    }

    /** Forgets the history of a topic; the newest record of each key is retained. */
    synchronized void forget(String topic) {
        Partition partition = partition(topic, "0");
        partition.first = partition.end;
        partition.history.clear();
    }

    private Partition partition(String topic, String part) {
        return partitions.computeIfAbsent(topic + "/" + part, ignored -> new Partition());
    }

    private void append(Partition partition, byte[] record) {
        int keyLength = record[0] & 0xff;
        String key = new String(record, 1, keyLength, StandardCharsets.UTF_8);
        byte[] value = Arrays.copyOfRange(record, 1 + keyLength, record.length);
        Newest previous = value.length == 0
                ? partition.newest.remove(key)
                : partition.newest.put(key, new Newest(value, partition.end));
        storedBytes += value.length == 0 ? 0 : keyLength + value.length;
        storedBytes -= previous == null ? 0 : keyLength + previous.value().length;
        removals += value.length == 0 && previous != null ? 1 : 0;
        long now = System.currentTimeMillis();
        partition.history.addLast(new Stored(record, now));
        partition.end++;
        while (!partition.history.isEmpty() && partition.history.peekFirst().atMillis() < now - HISTORY_MILLIS) {
            partition.history.removeFirst();
            partition.first++;
        }
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = listener.accept();
                socket.setTcpNoDelay(true);
                Thread serving = new Thread(() -> serve(socket), "store-connection");
                serving.setDaemon(true);
                serving.start();
            } catch (IOException closed) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
            OutputStream out = new BufferedOutputStream(socket.getOutputStream(), 1 << 16);
            while (true) {
                Http.Message request = Http.read(in, false);
                if (request == null) {
                    return;
                }
                answer(request, out);
                out.flush();
            }
        } catch (IOException | InterruptedException ended) {
            // The gateway closed the connection.
        }
    }

    private void answer(Http.Message request, OutputStream out) throws IOException, InterruptedException {
        String target = request.startLine().split(" ")[1];
        int mark = target.indexOf('?');
        Map<String, String> query = new HashMap<>();
        for (String pair : target.substring(mark + 1).split("&")) {
            int equals = pair.indexOf('=');
            query.put(
                    pair.substring(0, equals),
                    java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        switch (mark < 0 ? target : target.substring(0, mark)) {
            case "/log-append" -> append(query, request.body(), out);
            case "/log-read" -> read(query, out);
            case "/log-newest" -> newest(query, out);
            default -> Http.respond(out, 404, "", new byte[0]);
        }
    }

    private void append(Map<String, String> query, byte[] body, OutputStream out) throws IOException {
        int status = 200;
        String answer;
        synchronized (this) {
            Partition partition = partition(query.get("topic"), query.get("part"));
            String at = query.get("at");
            if (at != null && Long.parseLong(at) != partition.end) {
                status = 412;
                answer = "{\"end_offset\":" + partition.end + "}";
            } else if (storedBytes + body.length > LIMIT_BYTES) {
                status = 507;
                refusedAppends++;
                answer = "{\"error\":\"full\"}";
            } else {
                long offset = partition.end;
                DataInputStream records = new DataInputStream(new java.io.ByteArrayInputStream(body));
                while (records.available() > 0) {
                    byte[] record = new byte[records.readInt()];
                    records.readFully(record);
                    append(partition, record);
                }
                answer = "{\"offset\":" + offset + ",\"end_offset\":" + partition.end + "}";
                notifyAll();
            }
        }
        Http.respond(out, status, "content-type: application/json\r\n", answer.getBytes(StandardCharsets.UTF_8));
    }

    private void read(Map<String, String> query, OutputStream out) throws IOException, InterruptedException {
        long from = Long.parseLong(query.getOrDefault("from", "0"));
        long until = System.currentTimeMillis() + Long.parseLong(query.getOrDefault("wait_ms", "0"));
        ByteArrayOutputStream data = new ByteArrayOutputStream();
        long first;
        synchronized (this) {
            Partition partition = partition(query.get("topic"), query.get("part"));
            while (from >= partition.end && System.currentTimeMillis() < until) {
                wait(Math.max(1, until - System.currentTimeMillis()));
            }
            first = partition.first;
            if (from >= first) {
                data.writeBytes(ByteBuffer.allocate(16)
                        .putLong(partition.end)
                        .putLong(first)
                        .array());
                long offset = first;
                for (Stored record : partition.history) {
                    if (offset++ >= from && data.size() < 1 << 20) {
                        data.writeBytes(ByteBuffer.allocate(4)
                                .putInt(record.bytes().length)
                                .array());
                        data.writeBytes(record.bytes());
                    }
                }
            }
        }
        if (from < first) {
            Http.respond(
                    out,
                    410,
                    "content-type: application/json\r\n",
                    ("{\"first\":" + first + "}").getBytes(StandardCharsets.UTF_8));
            return;
        }
        Http.respond(out, 200, "", data.toByteArray());
    }

    private void newest(Map<String, String> query, OutputStream out) throws IOException {
        StringBuilder items = new StringBuilder();
        boolean more = false;
        long end;
        synchronized (this) {
            Partition partition = partition(query.get("topic"), query.get("part"));
            end = partition.end;
            int count = 0;
            int bytes = 0;
            for (Map.Entry<String, Newest> entry :
                    partition.newest.tailMap(query.getOrDefault("after", ""), false).entrySet()) {
                if (count > 0 && (count >= PAGE_ITEMS || bytes + entry.getValue().value().length > PAGE_BYTES)) {
                    more = true;
                    break;
                }
                items.append(count++ == 0 ? "" : ",")
                        .append("{\"key\":\"")
                        .append(entry.getKey())
                        .append("\",\"value\":\"")
                        .append(Base64.getEncoder().encodeToString(entry.getValue().value()))
                        .append("\",\"offset\":")
                        .append(entry.getValue().offset())
                        .append('}');
                bytes += entry.getValue().value().length;
            }
        }
        String answer = "{\"items\":[" + items + "],\"has_more\":" + more + ",\"end_offset\":" + end + "}";
        Http.respond(out, 200, "content-type: application/json\r\n", answer.getBytes(StandardCharsets.UTF_8));
    }

    @Override
    public void close() throws IOException {
        listener.close();
    }
}
