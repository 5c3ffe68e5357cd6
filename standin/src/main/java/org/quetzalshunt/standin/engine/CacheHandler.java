package org.quetzalshunt.standin.engine;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.standin.control.StandinServer;

/**
 * HTTP calls on single cache entries: free, export and import. The duration of an export or import is proportional to
 * the size of the entry.
 */
final class CacheHandler {
    static final String PREFIX = "/engine/cache/";
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final Map<String, String> OCTET_STREAM_HEADERS = Map.of("content-type", "application/octet-stream");

    private final EventLoop loop;
    private final CacheSettings settings;
    private final PrefixCache cache;

    private CacheHandler(EventLoop loop, CacheSettings settings, PrefixCache cache) {
        this.loop = loop;
        this.settings = settings;
        this.cache = cache;
    }

    static CacheHandler create(EventLoop loop, CacheSettings settings, PrefixCache cache) {
        return new CacheHandler(loop, settings, cache);
    }

    void handle(HttpExchange exchange) {
        String key = exchange.path().substring(PREFIX.length());
        switch (exchange.method()) {
            case "DELETE" -> {
                cache.free(key);
                exchange.respond(204, Map.of(), new byte[0]);
            }
            case "GET" -> exportEntry(exchange, key);
            case "PUT" -> importEntry(exchange, key);
            default -> StandinServer.error(exchange, 405, "use GET, PUT or DELETE");
        }
    }

    private void exportEntry(HttpExchange exchange, String key) {
        Optional<Prefix> prefix = cache.export(key);
        if (prefix.isEmpty()) {
            StandinServer.error(exchange, 404, "no such entry");
            return;
        }
        byte[] octets = prefix.get().toBytes();
        afterTransfer(prefix.get(), () -> exchange.respond(200, OCTET_STREAM_HEADERS, octets));
    }

    private void importEntry(HttpExchange exchange, String key) {
        Optional<Prefix> prefix = Prefix.fromBytes(exchange.body());
        if (prefix.isEmpty()) {
            StandinServer.error(exchange, 422, "not an exported entry");
            return;
        }
        afterTransfer(prefix.get(), () -> {
            if (!cache.store(key, prefix.get(), true)) {
                StandinServer.error(exchange, 507, "cache capacity is taken by held entries");
                return;
            }
            exchange.respond(204, Map.of(), new byte[0]);
        });
    }

    private void afterTransfer(Prefix prefix, Runnable action) {
        long millis = prefix.totalTokens() * MILLIS_PER_SECOND / settings.transferTokensPerSecond();
        loop.schedule(action, millis, TimeUnit.MILLISECONDS);
    }
}
