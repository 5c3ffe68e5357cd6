package org.quetzalshunt.core.memory;

import java.util.Optional;

/**
 * Memory held for one caller's connection. After it is closed, nothing is counted any more, since late releases of
 * requests that end after their connection must not be subtracted twice.
 */
public final class MemoryHolder {
    private final MemoryBudget budget;
    private final Optional<MemoryHolder> self = Optional.of(this);
    private final Runnable disconnect;
    private final BytesByUse byUse = new BytesByUse();
    private long held;
    private boolean closed;

    MemoryHolder(MemoryBudget budget, Runnable disconnect) {
        this.budget = budget;
        this.disconnect = disconnect;
    }

    /** Adds bytes to a use. */
    public void hold(MemoryUse use, long bytes) {
        change(use, bytes);
    }

    /** Removes bytes from a use; at most what is held for it. */
    public void release(MemoryUse use, long bytes) {
        change(use, -Math.min(bytes, byUse.get(use)));
    }

    /** Counts bytes under another use from now on. */
    public void move(MemoryUse from, MemoryUse to, long bytes) {
        long moved = Math.min(bytes, byUse.get(from));
        change(from, -moved);
        change(to, moved);
    }

    private void change(MemoryUse use, long bytes) {
        if (closed || bytes == 0) {
            return;
        }
        byUse.add(use, bytes);
        held += bytes;
        budget.add(use, bytes, self);
    }

    /** Bytes held for this connection. */
    public long held() {
        return held;
    }

    /** Releases everything; the connection is closed. */
    public void close() {
        if (closed) {
            return;
        }
        for (MemoryUse use : MemoryUse.values()) {
            change(use, -byUse.get(use));
        }
        closed = true;
        budget.remove(this);
    }

    void disconnect() {
        disconnect.run();
        close();
    }
}
