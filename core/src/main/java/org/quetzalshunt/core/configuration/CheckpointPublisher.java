package org.quetzalshunt.core.configuration;

import org.quetzalshunt.core.configuration.ConfigurationChange.CheckpointChange;
import org.quetzalshunt.core.log.CheckpointSchedule;
import org.quetzalshunt.core.log.StreamSession;

/**
 * Publishes checkpoints of the configuration, so that it can be rebuilt after retention has deleted older records.
 * {@link #tick} must be called periodically, but not by a listener of the configuration.
 */
public final class CheckpointPublisher {
    private final Configuration configuration;
    private final StreamSession session;
    private final RecordWriter writer;
    private final CheckpointSchedule schedule;
    private final int maximumPartBytes;
    private int pendingParts;
    private long publishedCheckpoints;

    private CheckpointPublisher(
            Configuration configuration,
            StreamSession session,
            RecordWriter writer,
            CheckpointSchedule schedule,
            int maximumPartBytes) {
        this.configuration = configuration;
        this.session = session;
        this.writer = writer;
        this.schedule = schedule;
        this.maximumPartBytes = maximumPartBytes;
    }

    /**
     * Creates a publisher.
     *
     * @param session session that applies the stream to the configuration
     * @param maximumPartBytes maximum bytes of state in one checkpoint record
     */
    public static CheckpointPublisher create(
            Configuration configuration,
            StreamSession session,
            RecordWriter writer,
            CheckpointSchedule schedule,
            int maximumPartBytes) {
        return new CheckpointPublisher(configuration, session, writer, schedule, maximumPartBytes);
    }

    /** Publishes a checkpoint if one is due, the state is complete and no earlier one is still being appended. */
    public void tick(long nowMillis) {
        boolean upToDate = configuration.isComplete() && session.isCaughtUp();
        if (!upToDate || session.nextOffset() == 0 || pendingParts > 0) {
            return;
        }
        if (schedule.isDue(nowMillis, configuration.lastCheckpointCoversBelow(), session.firstKept())) {
            publish(nowMillis);
        }
    }

    /** Number of checkpoints published since the start of the process. */
    public long publishedCheckpoints() {
        return publishedCheckpoints;
    }

    private void publish(long nowMillis) {
        publishedCheckpoints++;
        for (CheckpointChange part : configuration.checkpointChanges(maximumPartBytes)) {
            pendingParts++;
            session.submit(nowMillis, writer.write(part), submission -> pendingParts--);
        }
    }
}
