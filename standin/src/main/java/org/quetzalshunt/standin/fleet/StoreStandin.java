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

/** The platform's store in memory: appends with and without a condition, reads that wait, the newest of each key. */
public final class StoreStandin implements AutoCloseable {
    private static final int LONGEST_WAIT_MILLIS = 30_000;
    private static final long LOOK_AGAIN_MILLIS = 5;

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

    /** Port in use. */
    public int port() {
        return server.port();
    }

    /** Puts a fault in force, or ends it; on return it holds for every later call. */
    public void fault(StoreFault newFault) {
        onLoop(() -> fault = newFault);
    }

    /** Writes as the operator or a server would. */
    public void put(String topic, String key, byte[] value) {
        onLoop(() -> {
            shard(topic, "0").append(record(key, value));
            return null;
        });
    }

    /** Removes a key, as when a server's entry lapses. */
    public void remove(String topic, String key) {
        put(topic, key, new byte[0]);
    }

    /** Forgets the history of every partition; the newest record of each key stays. */
    public void dropHistory() {
        onLoop(() -> {
            shards.values().forEach(StoreShard::dropHistory);
            return null;
        });
    }

    /** Appends done so far. */
    public long appends() {
        return onLoop(() -> appends);
    }

    /** Range reads so far of all topics whose name begins so. */
    public long rangeReads(String topicPrefix) {
        return onLoop(() -> rangeReads.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(topicPrefix))
                .mapToLong(Map.Entry::getValue)
                .sum());
    }

    /** The newest values of all topics whose name begins so. */
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
        long at = exchange.query("at").map(Long::parseLong).orElse(shard.end());
        if (at != shard.end()) {
            exchange.respondJson(412, ends(shard).toString());
            return;
        }
        ObjectNode answer = Json.object().put("offset", shard.end());
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
        exchange.respondJson(200, answer.put("end_offset", shard.end()).toString());
    }

    private static ObjectNode ends(StoreShard shard) {
        return Json.object().put("end_offset", shard.end());
    }

    private void read(HttpExchange exchange, StoreShard shard, long startNanos) {
        long from = exchange.query("from").map(Long::parseLong).orElse(0L);
        if (from < shard.first()) {
            exchange.respondJson(410, Json.object().put("first", shard.first()).toString());
            return;
        }
        long wait = Math.min(
                LONGEST_WAIT_MILLIS,
                exchange.query("wait_ms").map(Long::parseLong).orElse(0L));
        long waited = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        if (from >= shard.end() && waited < wait) {
            group.next().schedule(() -> read(exchange, shard, startNanos), LOOK_AGAIN_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        exchange.respond(200, Map.of(), shard.read(from));
    }

    private static void newest(HttpExchange exchange, StoreShard shard) {
        ObjectNode answer = ends(shard).put("has_more", false);
        ArrayNode items = answer.putArray("items");
        shard.newestAfter(exchange.query("after").orElse("")).forEach((key, newest) -> items.addObject()
                .put("key", key)
                .put("value", Base64.getEncoder().encodeToString(newest.value()))
                .put("offset", newest.offset()));
        exchange.respondJson(200, answer.toString());
    }

    private StoreShard shard(String topic, String part) {
        return shards.computeIfAbsent(topic + "/" + part, ignored -> new StoreShard());
    }

    private static byte[] record(String key, byte[] value) {
        byte[] name = key.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(1 + name.length + value.length)
                .put((byte) name.length)
                .put(name)
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
