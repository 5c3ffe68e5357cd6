package org.quetzalshunt.core.memory;

/** How much of the memory budget is in use, and which requests are refused for it. */
public enum MemoryLevel {
    /** Nothing is refused. */
    NORMAL(0),
    /** First turns of programs are refused. */
    SHORT(75),
    /** All new requests are refused. */
    CRITICAL(85),
    /** The caller that holds the most memory is disconnected. */
    EXHAUSTED(95);

    private static final int PERCENT = 100;

    private final int fromPercent;

    MemoryLevel(int fromPercent) {
        this.fromPercent = fromPercent;
    }

    /** Level at which the given number of bytes of a budget is in use. */
    static MemoryLevel of(long heldBytes, long budgetBytes) {
        MemoryLevel reached = NORMAL;
        for (MemoryLevel level : values()) {
            if (level != NORMAL && heldBytes > level.thresholdBytes(budgetBytes)) {
                reached = level;
            }
        }
        return reached;
    }

    /** Use above which this level begins. */
    long thresholdBytes(long budgetBytes) {
        return budgetBytes / PERCENT * fromPercent;
    }

    /** Whether a new request is refused. */
    public boolean refuses(boolean beginsProgram) {
        return this == CRITICAL || this == EXHAUSTED || (this == SHORT && beginsProgram);
    }
}
