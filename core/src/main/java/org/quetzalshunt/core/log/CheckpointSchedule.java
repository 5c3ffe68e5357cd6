package org.quetzalshunt.core.log;

import java.util.SplittableRandom;

/**
 * Decides when a process should publish a checkpoint, without coordination. Every process draws a random time. The
 * first one publishes, and the others draw a new time when they read that checkpoint. Two concurrent checkpoints do no
 * harm, since a checkpoint never replaces newer state.
 *
 * <p>Checkpoints preserve state that is older than the log's retention. Without them a process that starts later would
 * not get, for instance, a document that was put months ago.
 */
public final class CheckpointSchedule {
    /** Minimum number of checkpoints per retention period, provided that one process runs for a whole interval. */
    private static final int MINIMUM_CHECKPOINTS_PER_RETENTION = 4;

    /** Range of random delays when the newest checkpoint no longer suffices to start a process. */
    private static final long URGENT_MAXIMUM_DELAY_MILLIS = 2_000;

    private final long maximumIntervalMillis;
    private final SplittableRandom random;
    private boolean started;
    private boolean urgent;
    private long nextPublishMillis;
    private long lastCoversBelow = -1;

    private CheckpointSchedule(long maximumIntervalMillis, long seed) {
        this.maximumIntervalMillis = maximumIntervalMillis;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Creates a schedule.
     *
     * @param retentionMillis how long the log keeps a record
     */
    public static CheckpointSchedule create(long retentionMillis, long seed) {
        return new CheckpointSchedule(Math.max(2, retentionMillis / MINIMUM_CHECKPOINTS_PER_RETENTION), seed);
    }

    /**
     * Whether this process should publish a checkpoint now. When it returns true, the next time has been drawn.
     *
     * @param coversBelow offset below which the newest checkpoint read covers the stream; -1 if there is none
     * @param firstKept oldest offset that the log still keeps
     */
    public boolean isDue(long nowMillis, long coversBelow, long firstKept) {
        if (!started || coversBelow > lastCoversBelow) {
            started = true;
            lastCoversBelow = coversBelow;
            urgent = false;
            drawNextTime(nowMillis);
        }
        // A process that starts now needs the checkpoint and every record from its offset on.
        boolean insufficient = firstKept > 0 && coversBelow < firstKept;
        if (insufficient && !urgent) {
            urgent = true;
            nextPublishMillis = Math.min(nextPublishMillis, nowMillis + random.nextLong(URGENT_MAXIMUM_DELAY_MILLIS));
        }
        if (nowMillis < nextPublishMillis) {
            return false;
        }
        urgent = false;
        drawNextTime(nowMillis);
        return true;
    }

    private void drawNextTime(long nowMillis) {
        nextPublishMillis = nowMillis + maximumIntervalMillis / 2 + random.nextLong(maximumIntervalMillis / 2);
    }
}
