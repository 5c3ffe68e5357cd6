package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.core.routing.EndpointTable;
import org.quetzalshunt.core.routing.Registration;
import org.quetzalshunt.core.store.ChangesAnswer;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.MapName;
import org.quetzalshunt.core.store.MapShard;
import org.quetzalshunt.core.store.RangeAnswer;

/**
 * Reads the registrations of endpoints at a fixed interval. Long polls would return at once every time, since each
 * endpoint writes about once a second.
 *
 * <p>While the store is unavailable, registrations expire although their endpoints are alive; the endpoints register
 * again within two seconds of its recovery. Removals that are read in this time are therefore applied only at its end,
 * and only if the endpoint has not registered again.
 */
final class RegistrationFollower {
    private static final MapShard SHARD = MapShard.only(MapName.REGISTRATIONS);

    /**
     * A quarter of the shortest time within which a VM must stop sending requests to a leaving endpoint (two seconds).
     */
    private static final long INTERVAL_MILLIS = 500;

    /**
     * Time without a response, about three polls, after which the store was unavailable and registrations may have
     * expired.
     */
    private static final long OUTAGE_MILLIS = 1_600;

    /**
     * Time after an outage in which removals are deferred: the two seconds within which the platform promises new
     * registrations, plus network latency.
     */
    private static final long REREGISTRATION_MILLIS = 2_200;

    private final EventExecutor executor;
    private final StoreClient store;
    private final Dialect dialect;
    private final NodeClock clock;
    private final DecisionLog log;
    private final DependencyMonitor dependency;
    private final EndpointTable endpoints;
    private final RecordIntake intake;
    private long next = -1;
    private long readMillis;
    private long deferRemovalsUntilMillis = Long.MIN_VALUE / 2;
    private boolean everRead;

    RegistrationFollower(
            EventExecutor executor,
            StoreClient store,
            Dialect dialect,
            NodeClock clock,
            DecisionLog log,
            EndpointTable endpoints) {
        this.executor = executor;
        this.store = store;
        this.dialect = dialect;
        this.clock = clock;
        this.log = log;
        this.dependency = new DependencyMonitor(log, "registrations");
        this.endpoints = endpoints;
        this.intake = new RecordIntake(log, "registrations");
    }

    /** Whether all registrations were read at least once. */
    boolean everRead() {
        return everRead;
    }

    /** Time since the registrations were last read, in milliseconds. */
    long ageMillis() {
        return clock.now() - readMillis;
    }

    void start() {
        endpoints.removeDue(clock.now());
        if (next < 0) {
            readAll("", new HashSet<>());
        } else {
            poll();
        }
    }

    private void scheduleNextRead(long delayMillis) {
        executor.schedule(this::start, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void readAll(String after, Set<String> listed) {
        store.range(SHARD, after, answer -> {
            if (!(answer instanceof RangeAnswer.Page page)) {
                onUnavailable(((RangeAnswer.Unavailable) answer).reason());
                return;
            }
            onRead();
            for (MapEntry entry : page.entries()) {
                listed.add(entry.key());
                intake.apply(entry, this::apply);
            }
            // Pages are not a snapshot: later changes are read from the end offset of the first page.
            next = next < 0 ? page.end() : next;
            if (page.continuation().isPresent()) {
                readAll(page.continuation().get(), listed);
                return;
            }
            endpoints.ids().stream().filter(id -> !listed.contains(id)).forEach(this::remove);
            intake.retain(listed);
            everRead = true;
            scheduleNextRead(INTERVAL_MILLIS);
        });
    }

    private void poll() {
        store.changes(SHARD, next, 0, answer -> {
            if (answer instanceof ChangesAnswer.Changes changes) {
                onRead();
                latest(changes.entries()).forEach(entry -> intake.apply(entry, this::apply));
                next = changes.next();
                scheduleNextRead(changes.next() < changes.end() ? 0 : INTERVAL_MILLIS);
                return;
            }
            if (answer instanceof ChangesAnswer.Gone) {
                next = -1;
                readAll("", new HashSet<>());
                return;
            }
            onUnavailable(((ChangesAnswer.Unavailable) answer).reason());
        });
    }

    /** Drops records that a later one with the same key replaces. */
    private static List<MapEntry> latest(List<MapEntry> entries) {
        Map<String, MapEntry> byKey = new LinkedHashMap<>();
        entries.forEach(entry -> byKey.put(entry.key(), entry));
        return List.copyOf(byKey.values());
    }

    private void onRead() {
        long now = clock.now();
        if (everRead && now - readMillis > OUTAGE_MILLIS) {
            deferRemovalsUntilMillis = now + REREGISTRATION_MILLIS;
        }
        readMillis = now;
        dependency.answered();
    }

    private void onUnavailable(String reason) {
        dependency.failed(reason);
        scheduleNextRead(INTERVAL_MILLIS);
    }

    private void apply(MapEntry entry) {
        if (entry.value().isEmpty()) {
            intake.accept(entry.key());
            remove(entry.key());
            return;
        }
        Decoded<Registration> decoded =
                dialect.registration(entry.key(), entry.value().get());
        if (decoded.value().isEmpty()) {
            intake.refuse(entry.key(), decoded.reason());
            remove(entry.key());
            return;
        }
        intake.accept(entry.key());
        Registration registration = decoded.value().get();
        logIfChanged(registration);
        endpoints.register(clock.now(), registration);
    }

    private void logIfChanged(Registration registration) {
        Optional<Registration> previous = endpoints.find(registration.id());
        if (previous.filter(registration::equalsExceptColdTime).isPresent()) {
            return;
        }
        log.write(log.event("endpoint")
                .put("id", registration.id())
                .put("service", registration.service())
                .put("address", registration.address())
                .put("leaving", registration.leaving())
                .put("coldMillis", registration.coldMillis())
                .put(
                        "restarted",
                        previous.isPresent() && previous.get().startedMillis() != registration.startedMillis()));
    }

    private void remove(String id) {
        if (endpoints.find(id).isEmpty()) {
            return;
        }
        long now = clock.now();
        boolean deferred = now < deferRemovalsUntilMillis;
        log.write(log.event("endpoint-gone").put("id", id).put("held", deferred));
        if (deferred) {
            endpoints.scheduleRemoval(id, deferRemovalsUntilMillis);
        } else {
            endpoints.remove(id);
        }
    }
}
