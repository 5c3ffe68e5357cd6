package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.util.concurrent.EventExecutor;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.quetzalshunt.core.program.Digests;
import org.quetzalshunt.core.quarantine.CrashTable;
import org.quetzalshunt.core.quarantine.EndpointCrashes;
import org.quetzalshunt.core.routing.Registration;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.MapName;
import org.quetzalshunt.core.store.MapShard;
import org.quetzalshunt.server.http.HttpClient;

/**
 * Detects endpoint crashes and reports the requests that were running there to the other VMs through the store. A
 * broken connection alone does not indicate a crash, since responses also get lost: a new connection to the endpoint
 * must fail as well.
 *
 * <p>The reports of a fingerprint are records with its crashes, which are equal at all VMs, and with the claims of trials
 * of a quarantined request; {@link CrashTable} has the rules. A VM that sees the answer to a request removes its records.
 */
final class CrashReporter {
    /** Whether a request may run, as far as crashes of endpoints are concerned. */
    enum Admission {
        /** It may run. */
        RUN,
        /** It must not run, because endpoints crashed while running it. */
        REFUSE,
        /** This VM has claimed a trial run; the result of the claim will be read with the reports. */
        AWAIT_TRIAL
    }

    static final String KEY_PREFIX = "crash/";

    private static final MapShard SHARD = MapShard.only(MapName.FLEET);
    private static final char SEPARATOR = '/';

    /** Names a claim of a trial in place of a crash; sorts after all crashes. */
    private static final String TRIAL_PREFIX = "~trial-";

    /** Time in which a claim is read again, unless the store is away; then it may be repeated. */
    private static final long CLAIM_TIMEOUT_MILLIS = 3_000;

    /**
     * Delay before an endpoint is probed. A crashed endpoint is down for seconds, while one whose response was lost
     * accepts a connection at any time.
     */
    private static final long PROBE_DELAY_MILLIS = 100;

    private static final long PROBE_TIMEOUT_MILLIS = 500;

    /** Bytes of the SHA-256 digest in a fingerprint; two given requests collide with a probability of 2^-64. */
    private static final int DIGEST_BYTES = 8;

    /** Requests of a crash in its log line; their number is always stated. */
    private static final int MAXIMUM_LOGGED_REQUESTS = 20;

    /** A request that an endpoint may have been running when its connection broke. */
    private record Suspect(String requestId, String fingerprint, String sentDigest, long sentMillis) {}

    private final EventExecutor executor;
    private final HttpClient http;
    private final StoreClient store;
    private final NodeClock clock;
    private final DecisionLog log;
    private final CrashTable table = CrashTable.create();
    private final EndpointCrashes crashes = EndpointCrashes.create();
    private final Map<Registration, List<Suspect>> suspects = new HashMap<>();
    private final Map<String, Long> claimedMillis = new HashMap<>();
    private final String incarnationId;

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

    /** Decides whether a request may run; a quarantined one only as a trial. */
    Admission admit(AdmittedRequest admitted) {
        if (table.isEmpty()) {
            return Admission.RUN;
        }
        String fingerprint = fingerprint(admitted);
        long now = clock.now();
        if (!table.isQuarantined(now, fingerprint)) {
            return Admission.RUN;
        }
        renewReports(now, fingerprint);
        if (table.takeTrial(fingerprint)) {
            log.write(log.event("quarantine-trial")
                    .put("request", admitted.request().id())
                    .put("fingerprint", fingerprint));
            return Admission.RUN;
        }
        table.dueTrial(now, fingerprint).ifPresent(number -> claimTrial(now, fingerprint, number));
        return isTrialPending(now, fingerprint) ? Admission.AWAIT_TRIAL : Admission.REFUSE;
    }

    /** Whether the result of a claim for this request is still to be read. */
    boolean isTrialPending(AdmittedRequest admitted) {
        return isTrialPending(clock.now(), fingerprint(admitted));
    }

    private boolean isTrialPending(long nowMillis, String fingerprint) {
        return claimedMillis.getOrDefault(fingerprint, Long.MIN_VALUE) > nowMillis - CLAIM_TIMEOUT_MILLIS;
    }

    private void renewReports(long nowMillis, String fingerprint) {
        List<MapEntry> reports = table.takeReportsToRenew(nowMillis, fingerprint).stream()
                .map(crash -> report(key(fingerprint, crash)))
                .toList();
        if (!reports.isEmpty()) {
            store.append(SHARD, reports, OptionalLong.empty(), answer -> {});
        }
    }

    private void claimTrial(long nowMillis, String fingerprint, int number) {
        if (isTrialPending(nowMillis, fingerprint)) {
            return;
        }
        claimedMillis.put(fingerprint, nowMillis);
        MapEntry claim =
                MapEntry.of(key(fingerprint, TRIAL_PREFIX + number), incarnationId.getBytes(StandardCharsets.UTF_8));
        store.append(SHARD, List.of(claim), OptionalLong.empty(), answer -> {});
    }

    private void onTrial(String fingerprint, String number, byte[] claimant) {
        boolean own = incarnationId.equals(new String(claimant, StandardCharsets.UTF_8));
        if (number.matches("[0-9]{1,3}")) {
            table.recordTrial(clock.now(), fingerprint, Integer.parseInt(number), own);
        }
        if (own) {
            claimedMillis.remove(fingerprint);
        }
    }

    /** Removes the crash reports of a request that an endpoint answered completely, here and at the other VMs. */
    void onAnswered(AdmittedRequest admitted) {
        if (table.isEmpty()) {
            return;
        }
        String fingerprint = fingerprint(admitted);
        Set<String> crashesBefore = table.recordAnswer(fingerprint);
        if (crashesBefore.isEmpty()) {
            return;
        }
        List<MapEntry> removals = Stream.concat(
                        crashesBefore.stream(),
                        IntStream.rangeClosed(1, CrashTable.MAXIMUM_TRIALS).mapToObj(number -> TRIAL_PREFIX + number))
                .map(report -> MapEntry.removal(key(fingerprint, report)))
                .toList();
        store.append(SHARD, removals, OptionalLong.empty(), answer -> {});
        log.write(log.event("crash-reports-removed")
                .put("request", admitted.request().id())
                .put("fingerprint", fingerprint)
                .put("reports", crashesBefore.size()));
    }

    /**
     * Probes an endpoint whose connection broke while it may have been running the request, and reports a crash if it
     * is down. Requests whose connections break until then share the probe and the report.
     *
     * @param sent body as sent to the endpoint
     */
    void onConnectionBroken(AdmittedRequest admitted, Registration endpoint, long sentMillis, byte[] sent) {
        Suspect suspect = new Suspect(admitted.request().id(), fingerprint(admitted), digest(sent), sentMillis);
        List<Suspect> running = suspects.get(endpoint);
        if (running != null) {
            running.add(suspect);
            return;
        }
        suspects.put(endpoint, new ArrayList<>(List.of(suspect)));
        executor.schedule(() -> probe(endpoint), PROBE_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void probe(Registration endpoint) {
        http.probe(EndpointCall.address(endpoint.address()), PROBE_TIMEOUT_MILLIS, reachable -> {
            List<Suspect> running = suspects.remove(endpoint);
            if (!reachable) {
                reportCrash(endpoint, running);
            }
        });
    }

    private void reportCrash(Registration endpoint, List<Suspect> running) {
        long now = clock.now();
        Map<String, MapEntry> reports = new LinkedHashMap<>();
        for (Suspect suspect : running) {
            String crash = crashes.identify(now, endpoint.id(), endpoint.startedMillis(), suspect.sentMillis());
            table.recordCrash(now, suspect.fingerprint(), crash);
            reports.computeIfAbsent(key(suspect.fingerprint(), crash), this::report);
        }
        store.append(SHARD, List.copyOf(reports.values()), OptionalLong.empty(), answer -> {});
        logCrash(endpoint, running, reports.size());
    }

    private void logCrash(Registration endpoint, List<Suspect> running, int reports) {
        ObjectNode line = log.event("endpoint-crashed")
                .put("endpoint", endpoint.id())
                .put("startedMillis", endpoint.startedMillis())
                .put("requests", running.size())
                .put("reports", reports);
        ArrayNode entries = line.putArray("running");
        running.stream().limit(MAXIMUM_LOGGED_REQUESTS).forEach(suspect -> entries.addObject()
                .put("request", suspect.requestId())
                .put("fingerprint", suspect.fingerprint())
                .put("sentDigest", suspect.sentDigest()));
        log.write(line);
    }

    private static String key(String fingerprint, String crash) {
        return KEY_PREFIX + fingerprint + SEPARATOR + crash;
    }

    private MapEntry report(String key) {
        String expires = Long.toString(clock.wallMillis() + CrashTable.RETENTION_MILLIS);
        return MapEntry.of(key, expires.getBytes(StandardCharsets.US_ASCII));
    }

    /** Adds a crash that some VM reported, or removes one that was followed by an answer; expired reports are ignored. */
    void onCrashReport(MapEntry entry) {
        int separator = entry.key().lastIndexOf(SEPARATOR);
        if (separator <= KEY_PREFIX.length()) {
            return;
        }
        String fingerprint = entry.key().substring(KEY_PREFIX.length(), separator);
        String crash = entry.key().substring(separator + 1);
        if (entry.value().isEmpty()) {
            table.removeCrash(fingerprint, crash);
            return;
        }
        if (crash.startsWith(TRIAL_PREFIX)) {
            onTrial(
                    fingerprint,
                    crash.substring(TRIAL_PREFIX.length()),
                    entry.value().get());
            return;
        }
        if (expiryMillis(entry.value().get()) >= clock.wallMillis()) {
            crashes.onReport(clock.now(), crash);
            table.recordCrash(clock.now(), fingerprint, crash);
        }
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
        return digest(
                description.getBytes(StandardCharsets.UTF_8),
                admitted.exchange().body());
    }

    private static String digest(byte[]... parts) {
        return HexFormat.of().formatHex(Digests.sha256(parts), 0, DIGEST_BYTES);
    }
}
