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
 * Follows the endpoints' registrations at a fixed interval: each endpoint writes about once a second, so a long poll
 * would answer at once every time.
 *
 * <p>While the store is unavailable, registrations lapse although their endpoints live, and come back within two seconds of its
 * return. Removals read in that time are therefore carried out at its end, and only if the endpoint did not come back.
 */
final class RegistrationFollower {
    private static final MapShard SHARD = MapShard.only(MapName.REGISTRATIONS);

    /** A quarter of the shortest time in which a leaving endpoint must be left alone (two seconds). */
    private static final long INTERVAL_MILLIS = 500;

    /** Three polls without an answer: the store was unavailable, and registrations may have lapsed. */
    private static final long AWAY_MILLIS = 1_600;

    /** Two seconds, as the platform promises, and a little for the way. */
    private static final long RETURN_MILLIS = 2_200;

    private final EventExecutor executor;
    private final StoreClient map;
    private final Dialect dialect;
    private final NodeClock clock;
    private final DecisionLog log;
    private final Dependency dependency;
    private final EndpointTable endpoints;
    private long next = -1;
    private long readMillis;
    private long returnUntilMillis = Long.MIN_VALUE / 2;
    private boolean everRead;

    RegistrationFollower(
            EventExecutor executor,
            StoreClient map,
            Dialect dialect,
            NodeClock clock,
            DecisionLog log,
            EndpointTable endpoints) {
        this.executor = executor;
        this.map = map;
        this.dialect = dialect;
        this.clock = clock;
        this.log = log;
        this.dependency = new Dependency(log, "registrations");
        this.endpoints = endpoints;
    }

    /** Whether the registrations were ever read whole. */
    boolean everRead() {
        return everRead;
    }

    /** Time since they were last read, in milliseconds. */
    long ageMillis() {
        return clock.now() - readMillis;
    }

    void start() {
        endpoints.sweep(clock.now());
        if (next < 0) {
            readWhole("", new HashSet<>());
        } else {
            poll();
        }
    }

    private void again(long delayMillis) {
        executor.schedule(this::start, delayMillis, TimeUnit.MILLISECONDS);
    }

    private void readWhole(String after, Set<String> listed) {
        map.range(SHARD, after, answer -> {
            if (!(answer instanceof RangeAnswer.Page page)) {
                lost(((RangeAnswer.Unavailable) answer).reason());
                return;
            }
            noteRead();
            for (MapEntry entry : page.entries()) {
                listed.add(entry.key());
                take(entry);
            }
            // Pages are no snapshot: what changed since the first page is read again from there.
            next = next < 0 ? page.end() : next;
            if (page.more() && !page.entries().isEmpty()) {
                readWhole(page.entries().get(page.entries().size() - 1).key(), listed);
                return;
            }
            endpoints.ids().stream().filter(id -> !listed.contains(id)).forEach(this::remove);
            everRead = true;
            again(INTERVAL_MILLIS);
        });
    }

    private void poll() {
        map.changes(SHARD, next, 0, answer -> {
            if (answer instanceof ChangesAnswer.Changes changes) {
                noteRead();
                latest(changes.entries()).forEach(this::take);
                next = changes.next();
                again(changes.next() < changes.end() ? 0 : INTERVAL_MILLIS);
                return;
            }
            if (answer instanceof ChangesAnswer.Gone) {
                next = -1;
                readWhole("", new HashSet<>());
                return;
            }
            lost(((ChangesAnswer.Unavailable) answer).reason());
        });
    }

    /** Leaves out records that a later one of the same key replaces. */
    private static List<MapEntry> latest(List<MapEntry> entries) {
        Map<String, MapEntry> byKey = new LinkedHashMap<>();
        entries.forEach(entry -> byKey.put(entry.key(), entry));
        return List.copyOf(byKey.values());
    }

    private void noteRead() {
        long now = clock.now();
        if (everRead && now - readMillis > AWAY_MILLIS) {
            returnUntilMillis = now + RETURN_MILLIS;
        }
        readMillis = now;
        dependency.answered();
    }

    private void lost(String reason) {
        dependency.failed(reason);
        again(INTERVAL_MILLIS);
    }

    private void take(MapEntry entry) {
        if (entry.value().isEmpty()) {
            remove(entry.key());
            return;
        }
        Optional<Registration> registration =
                dialect.registration(entry.key(), entry.value().get());
        if (registration.isEmpty()) {
            remove(entry.key());
            return;
        }
        logChange(registration.get());
        endpoints.registered(clock.now(), registration.get());
    }

    private void logChange(Registration registration) {
        Optional<Registration> before = endpoints.find(registration.id());
        if (before.filter(registration::sameAs).isPresent()) {
            return;
        }
        log.line(log.event("endpoint")
                .put("id", registration.id())
                .put("service", registration.service())
                .put("address", registration.address())
                .put("leaving", registration.leaving())
                .put("coldMillis", registration.coldMillis())
                .put("restarted", before.isPresent() && before.get().bornMillis() != registration.bornMillis()));
    }

    private void remove(String id) {
        if (endpoints.find(id).isEmpty()) {
            return;
        }
        long now = clock.now();
        boolean held = now < returnUntilMillis;
        log.line(log.event("endpoint-gone").put("id", id).put("held", held));
        if (held) {
            endpoints.removedAt(id, returnUntilMillis);
        } else {
            endpoints.removed(id);
        }
    }
}
