package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.quetzalshunt.core.route.TrafficConfiguration;
import org.quetzalshunt.core.store.ChangesAnswer;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.MapName;
import org.quetzalshunt.core.store.MapShard;
import org.quetzalshunt.core.store.RangeAnswer;

/**
 * Follows what operators write, the configuration and the evacuations, by long polls, and knows since when it is proven current: from the moment at which the call
 * that reached the end of the shard was sent, since an answer says nothing of what came after it was made. Only higher
 * versions are taken, so that nothing late can take a VM back.
 */
final class ConfigurationFollower {
    private static final MapShard SHARD = MapShard.only(MapName.CONFIGURATION);

    /**
     * A poll ends after this time without news. It bounds the age of the proof: a poll proves the moment at which it was
     * sent, so the age runs from one to two seconds and a little for the way, and two polls in a row may fail before
     * keys lapse at five seconds.
     */
    private static final long POLL_MILLIS = 1_000;

    private final EventExecutor executor;
    private final StoreClient map;
    private final Dialect dialect;
    private final NodeClock clock;
    private final DecisionLog log;
    private final Dependency dependency;
    private final Evacuations evacuations;
    private final Consumer<TrafficConfiguration> onChange;
    private final Backoff backoff;
    private TrafficConfiguration current;
    private long provenMillis = Long.MIN_VALUE / 2;
    private long next = -1;
    /** Counts the series of polls; answers and timers of a former one are void. */
    private int series;

    private boolean failed;

    ConfigurationFollower(
            EventExecutor executor,
            StoreClient map,
            Dialect dialect,
            NodeClock clock,
            DecisionLog log,
            Evacuations evacuations,
            Consumer<TrafficConfiguration> onChange) {
        this.executor = executor;
        this.map = map;
        this.dialect = dialect;
        this.clock = clock;
        this.log = log;
        this.dependency = new Dependency(log, "configuration");
        this.evacuations = evacuations;
        this.onChange = onChange;
        this.backoff = new Backoff(System.nanoTime());
    }

    /** The configuration in force. */
    Optional<TrafficConfiguration> current() {
        return Optional.ofNullable(current);
    }

    /** Age of the proof that nothing newer exists, in milliseconds. */
    long ageMillis() {
        return clock.now() - provenMillis;
    }

    /** The proof no longer counts, after a pause of unknown length. */
    void lapse() {
        provenMillis = Long.MIN_VALUE / 2;
    }

    void start() {
        map.onRegained(this::restart);
        restart();
    }

    /** Guards against seconds after an outage in which keys still count as unproven, while a poll into it runs out. */
    private void restart() {
        series++;
        if (next < 0) {
            readWhole(series, "", new WholeRead(clock.now()));
        } else {
            poll(series);
        }
    }

    private void readWhole(int own, String after, WholeRead read) {
        map.range(SHARD, after, answer -> {
            if (own != series) {
                return;
            }
            if (!(answer instanceof RangeAnswer.Page page)) {
                retry(own, ((RangeAnswer.Unavailable) answer).reason());
                return;
            }
            read.add(page);
            if (page.more() && !page.entries().isEmpty()) {
                readWhole(own, page.entries().get(page.entries().size() - 1).key(), read);
                return;
            }
            evacuations.replaced(read.evacuated);
            take(read.entries);
            next = read.end;
            proven(read.sentMillis);
            poll(own);
        });
    }

    /** The pages of one read of the whole shard, which are no snapshot: what changed meanwhile is read again from there. */
    private final class WholeRead {
        private final long sentMillis;
        private final List<MapEntry> entries = new ArrayList<>();
        private final Set<String> evacuated = new HashSet<>();
        private long end = -1;

        WholeRead(long sentMillis) {
            this.sentMillis = sentMillis;
        }

        void add(RangeAnswer.Page page) {
            end = end < 0 ? page.end() : end;
            for (MapEntry entry : page.entries()) {
                dialect.evacuatedDataCentre(entry.key()).ifPresentOrElse(evacuated::add, () -> entries.add(entry));
            }
        }
    }

    private void poll(int own) {
        long sentMillis = clock.now();
        // After a failure the proof is wanted at once, not after a poll's time without news.
        long waitMillis = failed ? 0 : POLL_MILLIS;
        map.changes(SHARD, next, waitMillis, answer -> {
            if (own != series) {
                return;
            }
            if (answer instanceof ChangesAnswer.Changes changes) {
                take(changes.entries());
                next = changes.next();
                if (changes.next() >= changes.end()) {
                    proven(sentMillis);
                }
                poll(own);
                return;
            }
            if (answer instanceof ChangesAnswer.Gone) {
                next = -1;
                readWhole(own, "", new WholeRead(clock.now()));
                return;
            }
            retry(own, ((ChangesAnswer.Unavailable) answer).reason());
        });
    }

    private void proven(long sentMillis) {
        failed = false;
        backoff.reset();
        provenMillis = Math.max(provenMillis, sentMillis);
        dependency.answered();
    }

    private void retry(int own, String reason) {
        failed = true;
        dependency.failed(reason);
        executor.schedule(() -> retry(own), backoff.nextDelayMillis(), TimeUnit.MILLISECONDS);
    }

    private void retry(int own) {
        if (own == series) {
            restart();
        }
    }

    private void take(List<MapEntry> entries) {
        for (MapEntry entry : entries) {
            dialect.evacuatedDataCentre(entry.key())
                    .ifPresentOrElse(
                            dataCentre -> evacuations.changed(
                                    dataCentre, entry.value().isPresent()),
                            () -> entry.value().flatMap(dialect::configuration).ifPresent(this::adopt));
        }
    }

    private void adopt(TrafficConfiguration configuration) {
        if (current != null && configuration.version() <= current.version()) {
            return;
        }
        log.line(log.event("configuration")
                .put("version", configuration.version())
                .put("before", current == null ? -1 : current.version())
                .put("routes", configuration.routes().size())
                .put("accounts", configuration.accounts().size()));
        current = configuration;
        onChange.accept(configuration);
    }
}
