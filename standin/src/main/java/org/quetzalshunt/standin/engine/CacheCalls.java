package org.quetzalshunt.standin.engine;

import io.netty.channel.EventLoop;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.standin.control.StandinServer;

/** Calls on single cache entries: free, export, import. Export and import take time by the entry's size. */
final class CacheCalls {
    static final String PREFIX = "/engine/cache/";
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final Map<String, String> OCTETS = Map.of("content-type", "application/octet-stream");

    private final EventLoop loop;
    private final CacheSettings settings;
    private final PrefixCache cache;

    private CacheCalls(EventLoop loop, CacheSettings settings, PrefixCache cache) {
        this.loop = loop;
        this.settings = settings;
        this.cache = cache;
    }

    static CacheCalls create(EventLoop loop, CacheSettings settings, PrefixCache cache) {
        return new CacheCalls(loop, settings, cache);
    }

    void handle(HttpExchange exchange) {
        String key = exchange.path().substring(PREFIX.length());
        switch (exchange.method()) {
            case "DELETE" -> {
                cache.free(key);
                exchange.respond(204, Map.of(), new byte[0]);
            }
            case "GET" -> export(exchange, key);
            case "PUT" -> restore(exchange, key);
            default -> StandinServer.error(exchange, 405, "use GET, PUT or DELETE");
        }
    }

    private void export(HttpExchange exchange, String key) {
        Optional<Prefix> prefix = cache.export(key);
        if (prefix.isEmpty()) {
            StandinServer.error(exchange, 404, "no such entry");
            return;
        }
        byte[] octets = prefix.get().toBytes();
        afterTransfer(prefix.get(), () -> exchange.respond(200, OCTETS, octets));
    }

    private void restore(HttpExchange exchange, String key) {
        Optional<Prefix> prefix = Prefix.fromBytes(exchange.body());
        if (prefix.isEmpty()) {
            StandinServer.error(exchange, 422, "not an exported entry");
            return;
        }
        afterTransfer(prefix.get(), () -> {
            if (!cache.store(key, prefix.get(), true)) {
                StandinServer.error(exchange, 507, "held entries leave no room");
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
