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
 * Detects endpoint crashes and reports the requests that were running there to the other VMs through the store. A
 * broken connection alone does not indicate a crash, since responses also get lost: a new connection to the endpoint
 * must fail as well.
 */
final class CrashReporter {
    static final String KEY_PREFIX = "crash/";

    private static final MapShard SHARD = MapShard.only(MapName.FLEET);
    private static final char SEPARATOR = '/';

    /**
     * Delay before an endpoint is probed. A crashed endpoint is down for seconds, while one whose response was lost
     * accepts a connection at any time.
     */
    private static final long PROBE_DELAY_MILLIS = 100;

    private static final long PROBE_TIMEOUT_MILLIS = 500;

    /** Bytes of the SHA-256 digest in a fingerprint; two given requests collide with a probability of 2^-64. */
    private static final int DIGEST_BYTES = 8;

    private final EventExecutor executor;
    private final HttpClient http;
    private final StoreClient store;
    private final NodeClock clock;
    private final DecisionLog log;
    private final String incarnationId;
    private final CrashTable table = CrashTable.create();
    private long crashes;

    CrashReporter(
            EventExecutor executor,
            HttpClient http,
            StoreClient store,
            NodeClock clock,
            DecisionLog log,
            GatewaySettings settings) {
        this.executor = executor;
        this.http = http;
        this.store = store;
        this.clock = clock;
        this.log = log;
        this.incarnationId = settings.incarnationId();
    }

    /** Whether the request must not run because endpoints crashed while running it. */
    boolean isQuarantined(AdmittedRequest admitted) {
        return !table.isEmpty() && table.isQuarantined(clock.now(), fingerprint(admitted));
    }

    /** Removes the crash reports of a request that an endpoint answered completely. */
    void onAnswered(AdmittedRequest admitted) {
        if (!table.isEmpty()) {
            table.recordAnswer(fingerprint(admitted));
        }
    }

    /**
     * Probes an endpoint whose connection broke while it may have been running the request, and reports a crash if it
     * is down.
     */
    void onConnectionBroken(AdmittedRequest admitted, Registration endpoint) {
        InetSocketAddress address = EndpointCall.address(endpoint.address());
        executor.schedule(
                () -> http.probe(address, PROBE_TIMEOUT_MILLIS, reachable -> {
                    if (!reachable) {
                        reportCrash(admitted, endpoint);
                    }
                }),
                PROBE_DELAY_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private void reportCrash(AdmittedRequest admitted, Registration endpoint) {
        String fingerprint = fingerprint(admitted);
        String crash = incarnationId + "-" + crashes++;
        log.write(log.event("endpoint-crashed")
                .put("request", admitted.request().id())
                .put("fingerprint", fingerprint)
                .put("endpoint", endpoint.id()));
        table.recordCrash(clock.now(), fingerprint, crash);
        String expires = Long.toString(clock.wallMillis() + CrashTable.RETENTION_MILLIS);
        MapEntry entry =
                MapEntry.of(KEY_PREFIX + fingerprint + SEPARATOR + crash, expires.getBytes(StandardCharsets.US_ASCII));
        store.append(SHARD, List.of(entry), OptionalLong.empty(), answer -> {});
    }

    /** Adds a crash that some VM reported; expired reports are ignored. */
    void onCrashReport(MapEntry entry) {
        int separator = entry.key().lastIndexOf(SEPARATOR);
        if (entry.value().isEmpty()
                || separator <= KEY_PREFIX.length()
                || expiryMillis(entry.value().get()) < clock.wallMillis()) {
            return;
        }
        String fingerprint = entry.key().substring(KEY_PREFIX.length(), separator);
        table.recordCrash(clock.now(), fingerprint, entry.key().substring(separator + 1));
    }

    private static long expiryMillis(byte[] value) {
        try {
            return Long.parseLong(new String(value, StandardCharsets.US_ASCII));
        } catch (NumberFormatException notANumber) {
            // Not written by a gateway; treated as expired.
            return Long.MIN_VALUE;
        }
    }

    /**
     * Digest of the parts of a request that stay the same when its caller retries it: method, URI, account and body.
     */
    private static String fingerprint(AdmittedRequest admitted) {
        String description =
                admitted.exchange().method() + ' ' + admitted.exchange().uri() + ' ' + admitted.accountName();
        byte[] digest = Digests.sha256(
                description.getBytes(StandardCharsets.UTF_8),
                admitted.exchange().body());
        return HexFormat.of().formatHex(digest, 0, DIGEST_BYTES);
    }
}
