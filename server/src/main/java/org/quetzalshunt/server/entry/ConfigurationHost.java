package org.quetzalshunt.server.entry;

import java.util.function.BiConsumer;
import org.quetzalshunt.core.configuration.CheckpointPublisher;
import org.quetzalshunt.core.configuration.Configuration;
import org.quetzalshunt.core.configuration.ConfigurationChange;
import org.quetzalshunt.core.configuration.Freshness;
import org.quetzalshunt.core.log.CheckpointSchedule;
import org.quetzalshunt.core.log.LogTransport;
import org.quetzalshunt.core.log.StreamSession;
import org.quetzalshunt.core.log.StreamSettings;
import org.quetzalshunt.core.log.Submission;
import org.quetzalshunt.wire.record.ConfigurationRecordCodec;

/** The configuration stream at this process: its fold, its proof of freshness, and changes put here. */
final class ConfigurationHost {
    static final String STREAM = "configuration";

    /** Half of the four seconds within which a change must be in force; the rest is for the change to travel. */
    private static final long FRESHNESS_MILLIS = 2_000;

    private static final long COMMIT_MILLIS = 20;

    private final EntryClock clock;
    private final Configuration configuration = Configuration.create(ConfigurationRecordCodec::decode);
    private final Freshness freshness = Freshness.create(FRESHNESS_MILLIS);
    private final StreamSession session;
    private final CheckpointPublisher publisher;

    ConfigurationHost(EntryClock clock, String writerId, long seed, LogTransport transport) {
        this.clock = clock;
        this.session = StreamSession.create(
                STREAM, StreamSettings.tailing(COMMIT_MILLIS, seed), writerId, transport, configuration);
        this.publisher = CheckpointPublisher.create(
                configuration,
                session,
                ConfigurationRecordCodec::encode,
                CheckpointSchedule.create(LogRetention.MILLIS, seed),
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
        session.lastReadMillis().ifPresent(freshness::readToEnd);
    }

    /**
     * Whether this process has read the stream to its end once and missed nothing since. Whether that is recent enough
     * is freshness' to say: an append whose fate is unknown in an outage of the log is no reason to refuse callers.
     */
    boolean isReady() {
        return configuration.complete() && session.lastReadMillis().isPresent();
    }

    boolean isFresh() {
        return freshness.fresh(clock.now(), configuration.next());
    }

    /** Appends a change; the callback hears what became of its record. */
    void put(ConfigurationChange change, BiConsumer<Submission, Configuration> whenFolded) {
        session.submit(
                clock.now(),
                ConfigurationRecordCodec.encode(change),
                submission -> whenFolded.accept(submission, configuration));
    }
}
