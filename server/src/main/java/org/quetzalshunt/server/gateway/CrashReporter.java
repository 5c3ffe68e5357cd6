package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.core.program.Digests;
import org.quetzalshunt.core.quarantine.CrashTable;
import org.quetzalshunt.core.routing.Registration;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.MapName;
import org.quetzalshunt.core.store.MapShard;
import org.quetzalshunt.server.http.HttpClient;

/**
 * Finds out which requests were running where an endpoint crashed, and tells the other VMs through the shared map. A
 * broken connection alone is no crash, since answers get lost too: the endpoint must also refuse a new connection.
 */
final class CrashReporter {
    static final String KEY_PREFIX = "crash/";

    private static final MapShard SHARD = MapShard.only(MapName.FLEET);
    private static final char SEPARATOR = '/';

    /** A crashed endpoint is back after seconds; one that only lost an answer takes a connection at any time. */
    private static final long PROBE_AFTER_MILLIS = 100;

    private static final long PROBE_MILLIS = 500;

    /** Octets of the digest that are kept: two requests in 2^64 collide. */
    private static final int DIGEST_BYTES = 8;

    private final EventExecutor executor;
    private final HttpClient http;
    private final StoreClient map;
    private final NodeClock clock;
    private final DecisionLog log;
    private final String life;
    private final CrashTable table = CrashTable.create();
    private long crashes;

    CrashReporter(
            EventExecutor executor,
            HttpClient http,
            StoreClient map,
            NodeClock clock,
            DecisionLog log,
            GatewaySettings settings) {
        this.executor = executor;
        this.http = http;
        this.map = map;
        this.clock = clock;
        this.log = log;
        this.life = settings.life();
    }

    /** Whether the request must not run. */
    boolean quarantined(AdmittedRequest admitted) {
        return !table.isEmpty() && table.quarantined(clock.now(), fingerprint(admitted));
    }

    /** The request was answered whole. */
    void answered(AdmittedRequest admitted) {
        if (!table.isEmpty()) {
            table.answered(fingerprint(admitted));
        }
    }

    /** The connection broke while an endpoint may have been running the request. */
    void broke(AdmittedRequest admitted, Registration endpoint) {
        InetSocketAddress address = EndpointCall.address(endpoint.address());
        executor.schedule(
                () -> http.probe(address, PROBE_MILLIS, reachable -> {
                    if (!reachable) {
                        crashed(admitted, endpoint);
                    }
                }),
                PROBE_AFTER_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void crashed(AdmittedRequest admitted, Registration endpoint) {
        String fingerprint = fingerprint(admitted);
        String crash = life + "-" + crashes++;
        log.line(log.event("endpoint-crashed")
                .put("request", admitted.request().id())
                .put("fingerprint", fingerprint)
                .put("endpoint", endpoint.id()));
        table.crashed(clock.now(), fingerprint, crash);
        String until = Long.toString(clock.wall() + CrashTable.KEEP_MILLIS);
        MapEntry entry =
                MapEntry.of(KEY_PREFIX + fingerprint + SEPARATOR + crash, until.getBytes(StandardCharsets.US_ASCII));
        map.append(SHARD, List.of(entry), OptionalLong.empty(), answer -> {});
    }

    /** A crash that some VM told of; one that no longer counts is passed over. */
    void heard(MapEntry entry) {
        int separator = entry.key().lastIndexOf(SEPARATOR);
        if (entry.value().isEmpty()
                || separator <= KEY_PREFIX.length()
                || until(entry.value().get()) < clock.wall()) {
            return;
        }
        String fingerprint = entry.key().substring(KEY_PREFIX.length(), separator);
        table.crashed(clock.now(), fingerprint, entry.key().substring(separator + 1));
    }

    private static long until(byte[] value) {
        try {
            return Long.parseLong(new String(value, StandardCharsets.US_ASCII));
        } catch (NumberFormatException notANumber) {
            // Another writer's record: it counts for nothing.
            return Long.MIN_VALUE;
        }
    }

    /** What stays the same when a caller sends a request again: method, path, account and body. */
    private static String fingerprint(AdmittedRequest admitted) {
        String head = admitted.exchange().method() + ' ' + admitted.exchange().uri() + ' ' + admitted.accountName();
        byte[] digest = Digests.sha256(
                head.getBytes(StandardCharsets.UTF_8), admitted.exchange().body());
        return HexFormat.of().formatHex(digest, 0, DIGEST_BYTES);
    }
}
