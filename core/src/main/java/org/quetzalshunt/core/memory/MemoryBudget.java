package org.quetzalshunt.core.memory;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Memory that a process holds for its callers, endpoints and peers, by use, against a fixed budget. Addresses overload
 * by data instead of requests: callers that do not read their responses, many large bodies at once, and endpoints that
 * accept requests slowly. Without a limit, such data fills the memory and the process is ended with all its requests.
 *
 * <p>Each caller's connection is a {@link MemoryHolder}. What is released when a connection closes is known by its
 * holder, so that the sum returns to zero whatever way a request ends. Not thread-safe.
 */
public final class MemoryBudget {
    private final long bytes;
    private final long exhaustedBytes;
    private final BytesByUse byUse = new BytesByUse();
    private final Set<MemoryHolder> holders = new HashSet<>();
    private long held;
    private long peak;
    private Consumer<Optional<MemoryHolder>> exhaustedListener = cause -> {};

    private MemoryBudget(long bytes) {
        this.bytes = bytes;
        this.exhaustedBytes = MemoryLevel.EXHAUSTED.thresholdBytes(bytes);
    }

    /** Creates a budget of a number of bytes. */
    public static MemoryBudget of(long bytes) {
        return new MemoryBudget(bytes);
    }

    /** Creates a budget that is never reached. */
    public static MemoryBudget unlimited() {
        return new MemoryBudget(Long.MAX_VALUE);
    }

    /**
     * Opens a holder for a caller's connection; it must be closed with the connection.
     *
     * @param disconnect disconnects the caller, which leads to {@link MemoryHolder#close}
     */
    public MemoryHolder open(Runnable disconnect) {
        MemoryHolder holder = new MemoryHolder(this, disconnect);
        holders.add(holder);
        return holder;
    }

    /**
     * Registers a listener that is called whenever the use has grown above the highest level, with the holder whose use
     * has grown.
     */
    public void onExhausted(Consumer<Optional<MemoryHolder>> listener) {
        exhaustedListener = listener;
    }

    /** Replaces the use that is measured as a whole instead of being held by callers. */
    public void measure(MemoryUse use, long measuredBytes) {
        add(use, Math.max(0, measuredBytes) - byUse.get(use), Optional.empty());
    }

    void add(MemoryUse use, long change, Optional<MemoryHolder> cause) {
        byUse.add(use, change);
        held += change;
        peak = Math.max(peak, held);
        if (change > 0 && isExhausted()) {
            exhaustedListener.accept(cause);
        }
    }

    void remove(MemoryHolder holder) {
        holders.remove(holder);
    }

    /** Size of the budget. */
    public long bytes() {
        return bytes;
    }

    /** Bytes in use now. */
    public long held() {
        return held;
    }

    /** Bytes in use now for one purpose. */
    public long held(MemoryUse use) {
        return byUse.get(use);
    }

    /** Largest use since the start. */
    public long peak() {
        return peak;
    }

    /** Number of open holders. */
    public int holders() {
        return holders.size();
    }

    /** Level of the present use. */
    public MemoryLevel level() {
        return MemoryLevel.of(held, bytes);
    }

    /** Whether the use is above the level at which callers are disconnected. */
    public boolean isExhausted() {
        return held > exhaustedBytes;
    }

    /**
     * Disconnects the callers with the most held memory until the use is below the highest level, or until the largest
     * holder is the spared one.
     *
     * @param spared holder whose request is being processed and must not end in the middle of that
     * @return number of callers disconnected
     */
    public int relieve(Optional<MemoryHolder> spared) {
        int disconnected = 0;
        while (isExhausted()) {
            Optional<MemoryHolder> largest = largest();
            if (largest.isEmpty() || largest.equals(spared)) {
                return disconnected;
            }
            largest.get().disconnect();
            disconnected++;
        }
        return disconnected;
    }

    private Optional<MemoryHolder> largest() {
        MemoryHolder largest = null;
        for (MemoryHolder holder : holders) {
            if (holder.held() > 0 && (largest == null || holder.held() > largest.held())) {
                largest = holder;
            }
        }
        return Optional.ofNullable(largest);
    }
}
