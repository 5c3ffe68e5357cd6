package org.quetzalshunt.server.entry;

import java.util.function.BiConsumer;
import org.quetzalshunt.core.configuration.CheckpointPublisher;
import org.quetzalshunt.core.configuration.Configuration;
import org.quetzalshunt.core.configuration.ConfigurationChange;
import org.quetzalshunt.core.configuration.ConfigurationStatus;
import org.quetzalshunt.core.configuration.Freshness;
import org.quetzalshunt.core.log.CheckpointSchedule;
import org.quetzalshunt.core.log.LogTransport;
import org.quetzalshunt.core.log.StreamSession;
import org.quetzalshunt.core.log.StreamSettings;
import org.quetzalshunt.core.log.Submission;
import org.quetzalshunt.wire.record.ConfigurationRecordCodec;
import org.tinylog.Logger;

/**
 * The configuration stream at this entry: applies its records to the configuration, tracks whether the configuration is
 * fresh, submits changes and publishes checkpoints.
 */
final class ConfigurationStream {
    static final String STREAM = "configuration";

    /** Half of the 4 s within which a change must be in force; the other half is for its propagation. */
    private static final long FRESHNESS_MILLIS = 2_000;

    private static final long COMMIT_MILLIS = 20;

    private final EntryClock clock;
    private final Configuration configuration = Configuration.create(ConfigurationRecordCodec::decode);
    private final Freshness freshness = Freshness.create(FRESHNESS_MILLIS);
    private final StreamSession session;
    private final CheckpointPublisher publisher;
    private long highestPeerNext;
    private ConfigurationStatus lastStatus = ConfigurationStatus.STALE;

    ConfigurationStream(EntryClock clock, String writerId, long seed, LogTransport transport) {
        this.clock = clock;
        this.session = StreamSession.create(
                STREAM, StreamSettings.tailing(COMMIT_MILLIS, seed), writerId, transport, configuration);
        this.publisher = CheckpointPublisher.create(
                configuration,
                session,
                ConfigurationRecordCodec::encode,
                CheckpointSchedule.create(LogRetention.ASSUMED_MILLIS, seed),
                ConfigurationRecordCodec.MAXIMUM_STATE_PART_BYTES);
    }

    Configuration configuration() {
        return configuration;
    }

    Freshness freshness() {
        return freshness;
    }

    StreamSession session() {
        return session;
    }

    void tick() {
        session.tick(clock.now());
        publisher.tick(clock.now());
        session.lastReadMillis().ifPresent(freshness::onReadToEnd);
        logStatusChange();
    }

    /** A peer has applied the changes before this offset. */
    void onPeerOffset(long peerNext) {
        highestPeerNext = Math.max(highestPeerNext, peerNext);
        session.onPeerOffset(clock.now(), peerNext);
    }

    private void logStatusChange() {
        ConfigurationStatus status = status();
        if (status == lastStatus) {
            return;
        }
        Logger.info(
                "configuration is {}, was {}: next offset {}, highest of a peer {}, last read {} ms ago",
                status,
                lastStatus,
                configuration.nextOffset(),
                highestPeerNext,
                freshness.ageMillis(clock.now()));
        lastStatus = status;
    }

    /**
     * Whether this process has read the stream to its end at least once and has no gap in it. {@link #status} states
     * whether that is recent enough. Pending appends do not matter here: an append with an unknown result during a log
     * outage is no reason to refuse callers.
     */
    boolean isReady() {
        return configuration.isComplete() && session.lastReadMillis().isPresent();
    }

    ConfigurationStatus status() {
        long now = clock.now();
        if (freshness.isFresh(now, configuration.nextOffset())) {
            return ConfigurationStatus.FRESH;
        }
        return session.isCatchingUp(now) ? ConfigurationStatus.CATCHING_UP : ConfigurationStatus.STALE;
    }

    /** Highest offset that a peer has reported. */
    long highestPeerNext() {
        return highestPeerNext;
    }

    /** Submits a change; the callback receives the result of the submission and the configuration at that time. */
    void submit(ConfigurationChange change, BiConsumer<Submission, Configuration> onResult) {
        session.submit(
                clock.now(),
                ConfigurationRecordCodec.encode(change),
                submission -> onResult.accept(submission, configuration));
    }
}
