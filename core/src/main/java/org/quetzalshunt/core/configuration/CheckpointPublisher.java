package org.quetzalshunt.core.configuration;

import org.quetzalshunt.core.configuration.ConfigurationChange.CheckpointChange;
import org.quetzalshunt.core.log.CheckpointSchedule;
import org.quetzalshunt.core.log.StreamSession;

/**
 * Re-publishes what is in force before retention takes its records, when this process's turn comes. The host calls
 * {@link #tick} beside the session's, never from a listener of the fold.
 */
public final class CheckpointPublisher {
    private final Configuration configuration;
    private final StreamSession session;
    private final RecordWriter writer;
    private final CheckpointSchedule schedule;
    private final int maximumPartBytes;
    private int partsUnderWay;
    private long published;

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
     * Makes a publisher.
     *
     * @param session the session that folds into the configuration
     * @param maximumPartBytes largest part of a checkpoint's state in one record
     */
    public static CheckpointPublisher create(
            Configuration configuration,
            StreamSession session,
            RecordWriter writer,
            CheckpointSchedule schedule,
            int maximumPartBytes) {
        return new CheckpointPublisher(configuration, session, writer, schedule, maximumPartBytes);
    }

    /** Publishes when it is due and the state is whole. */
    public void tick(long nowMillis) {
        boolean knowsAll = configuration.complete() && session.caughtUp();
        if (!knowsAll || session.next() == 0 || partsUnderWay > 0) {
            return;
        }
        if (schedule.isDue(nowMillis, configuration.lastCheckpointCoversBelow(), session.firstKept())) {
            publish(nowMillis);
        }
    }

    /** Checkpoints that this process has published since its start. */
    public long published() {
        return published;
    }

    private void publish(long nowMillis) {
        published++;
        for (CheckpointChange part : configuration.checkpointChanges(maximumPartBytes)) {
            partsUnderWay++;
            session.submit(nowMillis, writer.write(part), submission -> partsUnderWay--);
        }
    }
}
