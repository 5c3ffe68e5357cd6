package org.quetzalshunt.core.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.quetzalshunt.core.configuration.ConfigurationChange.DocumentChange;
import org.quetzalshunt.core.log.CheckpointSchedule;
import org.quetzalshunt.core.log.FakeLog;
import org.quetzalshunt.core.log.StreamSession;
import org.quetzalshunt.core.log.StreamSettings;

/** A process that reads and changes the configuration by the configuration stream of a fake log. */
final class ConfigurationNode {
    static final int PART_BYTES = 300;

    final Configuration configuration = Configuration.create(TextRecords::read);
    final Map<String, Optional<ChangeOutcome>> outcomes = new HashMap<>();
    final FakeLog.Transport transport;
    final StreamSession session;
    final CheckpointPublisher publisher;
    private final FakeLog log;

    private ConfigurationNode(FakeLog log, String writer, long retentionMillis) {
        this.log = log;
        transport = log.transport();
        long seed = writer.hashCode();
        session = StreamSession.create(
                "configuration", StreamSettings.tailing(5, seed), writer, transport, configuration);
        transport.attach(session);
        publisher = CheckpointPublisher.create(
                configuration,
                session,
                TextRecords::write,
                CheckpointSchedule.create(retentionMillis, seed),
                PART_BYTES);
    }

    static ConfigurationNode start(FakeLog log, String writer) {
        return publishing(log, writer, Long.MAX_VALUE / 8);
    }

    static ConfigurationNode publishing(FakeLog log, String writer, long retentionMillis) {
        return new ConfigurationNode(log, writer, retentionMillis);
    }

    void submit(DocumentChange change) {
        session.submit(
                log.now(),
                TextRecords.write(change),
                submission -> outcomes.put(
                        change.changeId(),
                        submission.isFolded() ? configuration.outcome(change.changeId()) : Optional.empty()));
    }

    void publishCheckpoint() {
        configuration
                .checkpointChanges(PART_BYTES)
                .forEach(part -> session.submit(log.now(), TextRecords.write(part), submission -> {}));
    }

    void tick() {
        session.tick(log.now());
        publisher.tick(log.now());
    }
}
