package org.quetzalshunt.standin.fleet;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.server.http.HttpLimits;
import org.quetzalshunt.server.http.HttpServer;
import org.quetzalshunt.wire.json.Json;

/**
 * In-memory substitute for the platform's store, served over HTTP: appends with an optional condition on the offset,
 * reads that wait for new records, and queries for the newest record of each key.
 */
public final class StoreStandin implements AutoCloseable {
    private static final int MAXIMUM_WAIT_MILLIS = 30_000;
    private static final long POLL_INTERVAL_MILLIS = 5;
    private static final int MAXIMUM_ITEMS = 500;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final Map<String, StoreShard> shards = new HashMap<>();
    private final HttpServer server;
    private StoreFault fault = StoreFault.NONE;
    private long appends;
    private final Map<String, Long> rangeReads = new HashMap<>();

    private StoreStandin() {
        InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        server = HttpServer.start(group, address, HttpLimits.defaults(), this::handle);
    }

    /** Starts a store on a free port of the loopback address. */
    public static StoreStandin start() {
        return new StoreStandin();
    }

    /** Port that the server is bound to. */
    public int port() {
        return server.port();
    }

    /** Sets the fault, which applies to every call handled after this method returns; {@code NONE} ends it. */
    public void setFault(StoreFault newFault) {
        onLoop(() -> fault = newFault);
    }

    /** Appends a record to partition 0 of a topic, as the operator or a server does. */
    public void put(String topic, String key, byte[] value) {
        onLoop(() -> {
            shard(topic, "0").append(record(key, value));
            return null;
        });
    }

    /** Appends a record with an empty value, which removes the key, as when a server's registration expires. */
    public void remove(String topic, String key) {
        put(topic, key, new byte[0]);
    }

    /**
     * Removes all records of every partition, as retention does. Reads below the end offset then get status 410;
     * queries for the newest record of each key are unaffected.
     */
    public void dropHistory() {
        onLoop(() -> {
            shards.values().forEach(StoreShard::dropHistory);
            return null;
        });
    }

    /**
     * Number of append calls stored so far, each of one or more records. Records written with {@link #put} and
     * {@link #remove} are not counted.
     */
    public long appends() {
        return onLoop(() -> appends);
    }

    /** Number of queries for the newest records so far, over all topics with this prefix. */
    public long newestQueries(String topicPrefix) {
        return onLoop(() -> rangeReads.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(topicPrefix))
                .mapToLong(Map.Entry::getValue)
                .sum());
    }

    /** Newest values of all keys, over all topics with this prefix. */
    public List<byte[]> newest(String topicPrefix) {
        return onLoop(() -> {
            List<byte[]> values = new ArrayList<>();
            shards.forEach((name, shard) -> {
                if (name.startsWith(topicPrefix)) {
                    shard.newestAfter("").values().forEach(each -> values.add(each.value()));
                }
            });
            return values;
        });
    }

    private void handle(HttpExchange exchange) {
        if (fault == StoreFault.SILENT) {
            return;
        }
        if (fault == StoreFault.BUSY) {
            exchange.respondJson(503, "{}");
            return;
        }
        StoreShard shard =
                shard(exchange.query("topic").orElse(""), exchange.query("part").orElse("0"));
        switch (exchange.path()) {
            case "/log-append" -> append(exchange, shard);
            case "/log-read" -> read(exchange, shard, System.nanoTime());
            case "/log-newest" -> {
                rangeReads.merge(exchange.query("topic").orElse(""), 1L, Long::sum);
                newest(exchange, shard);
            }
            default -> exchange.respondJson(404, "{}");
        }
    }

    private void append(HttpExchange exchange, StoreShard shard) {
        long expectedEnd = exchange.query("at").map(Long::parseLong).orElse(shard.endOffset());
        if (expectedEnd != shard.endOffset()) {
            exchange.respondJson(412, endOffsetNode(shard).toString());
            return;
        }
        ObjectNode answer = Json.object().put("offset", shard.endOffset());
        ByteBuffer body = ByteBuffer.wrap(exchange.body());
        while (body.hasRemaining()) {
            byte[] record = new byte[body.getInt()];
            body.get(record);
            shard.append(record);
        }
        appends++;
        if (fault == StoreFault.LOSES_ANSWERS) {
            exchange.abort();
            return;
        }
        exchange.respondJson(200, answer.put("end_offset", shard.endOffset()).toString());
    }

    private static ObjectNode endOffsetNode(StoreShard shard) {
        return Json.object().put("end_offset", shard.endOffset());
    }

    private void read(HttpExchange exchange, StoreShard shard, long startNanos) {
        long from = exchange.query("from").map(Long::parseLong).orElse(0L);
        if (from < shard.firstOffset()) {
            exchange.respondJson(
                    410, Json.object().put("first", shard.firstOffset()).toString());
            return;
        }
        long waitMillis = Math.min(
                MAXIMUM_WAIT_MILLIS,
                exchange.query("wait_ms").map(Long::parseLong).orElse(0L));
        long waitedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        if (from >= shard.endOffset() && waitedMillis < waitMillis) {
            group.next().schedule(() -> read(exchange, shard, startNanos), POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        exchange.respond(200, Map.of(), shard.read(from));
    }

    private static void newest(HttpExchange exchange, StoreShard shard) {
        var remaining = shard.newestAfter(exchange.query("after").orElse(""));
        ObjectNode answer = endOffsetNode(shard).put("has_more", remaining.size() > MAXIMUM_ITEMS);
        ArrayNode items = answer.putArray("items");
        remaining.entrySet().stream().limit(MAXIMUM_ITEMS).forEach(entry -> items.addObject()
                .put("key", entry.getKey())
                .put(
                        "value",
                        Base64.getEncoder().encodeToString(entry.getValue().value()))
                .put("offset", entry.getValue().offset()));
        exchange.respondJson(200, answer.toString());
    }

    private StoreShard shard(String topic, String part) {
        return shards.computeIfAbsent(topic + "/" + part, ignored -> new StoreShard());
    }

    private static byte[] record(String key, byte[] value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(1 + keyBytes.length + value.length)
                .put((byte) keyBytes.length)
                .put(keyBytes)
                .put(value)
                .array();
    }

    private <T> T onLoop(Callable<T> action) {
        return group.next().submit(action).syncUninterruptibly().getNow();
    }

    @Override
    public void close() {
        server.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }
}
