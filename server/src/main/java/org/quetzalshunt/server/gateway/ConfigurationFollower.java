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
 * Follows the operators' records (the configuration and the evacuations) by long polling, and tracks when the
 * configuration was last confirmed as current. A response confirms it as of the time at which the call was sent, since
 * it does not cover later changes. Only higher versions are applied, so that a late response cannot restore an older
 * configuration.
 */
final class ConfigurationFollower {
    private static final MapShard SHARD = MapShard.only(MapName.CONFIGURATION);

    /**
     * Duration of a long poll that finds no changes. A poll confirms the configuration as of the time at which it was
     * sent, so the confirmed age is between one and two seconds plus the network latency, and two polls in a row may
     * fail before keys expire at five seconds.
     */
    private static final long LONG_POLL_MILLIS = 1_000;

    private final EventExecutor executor;
    private final StoreClient store;
    private final Dialect dialect;
    private final NodeClock clock;
    private final DecisionLog log;
    private final DependencyMonitor dependency;
    private final Evacuations evacuations;
    private final Consumer<TrafficConfiguration> onChange;
    private final Backoff backoff;
    private final RecordIntake intake;
    private TrafficConfiguration current;
    private long confirmedMillis = Long.MIN_VALUE / 2;
    private long next = -1;
    /** Number of the current series of polls; responses and timers of earlier series are ignored. */
    private int currentSeries;

    private boolean lastCallFailed;

    ConfigurationFollower(
            EventExecutor executor,
            StoreClient store,
            Dialect dialect,
            NodeClock clock,
            DecisionLog log,
            Evacuations evacuations,
            Consumer<TrafficConfiguration> onChange) {
        this.executor = executor;
        this.store = store;
        this.dialect = dialect;
        this.clock = clock;
        this.log = log;
        this.dependency = new DependencyMonitor(log, "configuration");
        this.evacuations = evacuations;
        this.onChange = onChange;
        this.backoff = new Backoff(System.nanoTime());
        this.intake = new RecordIntake(log, "configuration");
    }

    /** The current configuration; empty before the first one is read. */
    Optional<TrafficConfiguration> current() {
        return Optional.ofNullable(current);
    }

    /** Time since the configuration was last confirmed as current, in milliseconds. */
    long ageMillis() {
        return clock.now() - confirmedMillis;
    }

    /** Discards the confirmation, after a pause of the process of unknown length. */
    void discardConfirmation() {
        confirmedMillis = Long.MIN_VALUE / 2;
    }

    void start() {
        store.onRecovered(this::restart);
        restart();
    }

    /**
     * Starts a new series of polls, also when the store answers again after an outage. Otherwise API keys would stay
     * unconfirmed for seconds after an outage, until a poll that was sent during the outage timed out.
     */
    private void restart() {
        currentSeries++;
        if (next < 0) {
            readAll(currentSeries, "", new FullRead(clock.now()));
        } else {
            poll(currentSeries);
        }
    }

    private void readAll(int series, String after, FullRead read) {
        store.range(SHARD, after, answer -> {
            if (series != currentSeries) {
                return;
            }
            if (!(answer instanceof RangeAnswer.Page page)) {
                onFailure(series, ((RangeAnswer.Unavailable) answer).reason());
                return;
            }
            read.add(page);
            if (page.continuation().isPresent()) {
                readAll(series, page.continuation().get(), read);
                return;
            }
            evacuations.replaceAll(read.evacuated);
            apply(read.entries);
            next = read.end;
            confirm(read.sentMillis);
            poll(series);
        });
    }

    /**
     * Collects the pages of one read of the whole shard. The pages are not a snapshot: later changes are read from the
     * end offset of the first page.
     */
    private final class FullRead {
        private final long sentMillis;
        private final List<MapEntry> entries = new ArrayList<>();
        private final Set<String> evacuated = new HashSet<>();
        private long end = -1;

        FullRead(long sentMillis) {
            this.sentMillis = sentMillis;
        }

        void add(RangeAnswer.Page page) {
            end = end < 0 ? page.end() : end;
            for (MapEntry entry : page.entries()) {
                dialect.evacuatedDataCentre(entry.key()).ifPresentOrElse(evacuated::add, () -> entries.add(entry));
            }
        }
    }

    private void poll(int series) {
        long sentMillis = clock.now();
        // After a failure, a poll returns at once, so that the configuration is confirmed without the delay of a long
        // poll.
        long waitMillis = lastCallFailed ? 0 : LONG_POLL_MILLIS;
        store.changes(SHARD, next, waitMillis, answer -> {
            if (series != currentSeries) {
                return;
            }
            if (answer instanceof ChangesAnswer.Changes changes) {
                apply(changes.entries());
                next = changes.next();
                if (changes.next() >= changes.end()) {
                    confirm(sentMillis);
                }
                poll(series);
                return;
            }
            if (answer instanceof ChangesAnswer.Gone) {
                next = -1;
                readAll(series, "", new FullRead(clock.now()));
                return;
            }
            onFailure(series, ((ChangesAnswer.Unavailable) answer).reason());
        });
    }

    private void confirm(long sentMillis) {
        lastCallFailed = false;
        backoff.reset();
        confirmedMillis = Math.max(confirmedMillis, sentMillis);
        dependency.answered();
    }

    private void onFailure(int series, String reason) {
        lastCallFailed = true;
        dependency.failed(reason);
        executor.schedule(() -> retry(series), backoff.nextDelayMillis(), TimeUnit.MILLISECONDS);
    }

    private void retry(int series) {
        if (series == currentSeries) {
            restart();
        }
    }

    private void apply(List<MapEntry> entries) {
        entries.forEach(entry -> intake.apply(entry, this::apply));
    }

    private void apply(MapEntry entry) {
        dialect.evacuatedDataCentre(entry.key())
                .ifPresentOrElse(
                        dataCentre ->
                                evacuations.update(dataCentre, entry.value().isPresent()),
                        () -> entry.value().ifPresent(value -> applyConfiguration(entry.key(), value)));
    }

    private void applyConfiguration(String key, byte[] value) {
        Decoded<TrafficConfiguration> decoded = dialect.configuration(value);
        decoded.value()
                .ifPresentOrElse(
                        configuration -> {
                            intake.accept(key);
                            adopt(configuration);
                        },
                        () -> intake.refuse(key, decoded.reason()));
    }

    private void adopt(TrafficConfiguration configuration) {
        if (current != null && configuration.version() <= current.version()) {
            return;
        }
        log.write(log.event("configuration")
                .put("version", configuration.version())
                .put("before", current == null ? -1 : current.version())
                .put("routes", configuration.routes().size())
                .put("accounts", configuration.accounts().size()));
        current = configuration;
        onChange.accept(configuration);
    }
}
