package org.quetzalshunt.core.log;

import java.util.SplittableRandom;

/**
 * Says when a process should publish a checkpoint, without agreement: every process draws a turn at random, the one
 * whose turn comes first publishes, and the others draw anew when they fold that checkpoint. Two that publish at once do
 * no harm, since a checkpoint never replaces anything newer.
 *
 * <p>Guards against retention taking the only copy of state that is still in force: a document put months ago, say. It
 * would show when the next process starts and does not know the document.
 */
public final class CheckpointSchedule {
    /** Checkpoints in one span of retention, at least, as long as one process lives for the longest turn. */
    private static final int CHECKPOINTS_PER_RETENTION = 4;

    /** Spread of the turns when the newest checkpoint no longer helps a late starter. */
    private static final long URGENT_SPREAD_MILLIS = 2_000;

    private final long longestMillis;
    private final SplittableRandom random;
    private boolean started;
    private boolean urgent;
    private long turnMillis;
    private long newestCoversBelow = -1;

    private CheckpointSchedule(long longestMillis, long seed) {
        this.longestMillis = longestMillis;
        this.random = new SplittableRandom(seed);
    }

    /**
     * Makes a schedule.
     *
     * @param retentionMillis how long the log keeps a record
     */
    public static CheckpointSchedule create(long retentionMillis, long seed) {
        return new CheckpointSchedule(Math.max(2, retentionMillis / CHECKPOINTS_PER_RETENTION), seed);
    }

    /**
     * Whether it is this process's turn. True once a turn; the next is drawn at once.
     *
     * @param coversBelow offset below which the newest checkpoint folded covers the stream, -1 for none
     * @param firstKept oldest offset that the log keeps
     */
    public boolean due(long nowMillis, long coversBelow, long firstKept) {
        if (!started || coversBelow > newestCoversBelow) {
            started = true;
            newestCoversBelow = coversBelow;
            urgent = false;
            drawTurn(nowMillis);
        }
        // A late starter needs every record from the checkpoint's offset on.
        boolean lacking = firstKept > 0 && coversBelow < firstKept;
        if (lacking && !urgent) {
            urgent = true;
            turnMillis = Math.min(turnMillis, nowMillis + random.nextLong(URGENT_SPREAD_MILLIS));
        }
        if (nowMillis < turnMillis) {
            return false;
        }
        urgent = false;
        drawTurn(nowMillis);
        return true;
    }

    private void drawTurn(long nowMillis) {
        turnMillis = nowMillis + longestMillis / 2 + random.nextLong(longestMillis / 2);
    }
}
