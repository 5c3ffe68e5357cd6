package org.quetzalshunt.core.memory;

import java.util.EnumMap;
import java.util.Map;

/** Numbers of bytes by use. */
final class BytesByUse {
    private static final class Count {
        private long bytes;
    }

    private final Map<MemoryUse, Count> counts = new EnumMap<>(MemoryUse.class);

    BytesByUse() {
        for (MemoryUse use : MemoryUse.values()) {
            counts.put(use, new Count());
        }
    }

    long get(MemoryUse use) {
        return counts.get(use).bytes;
    }

    void add(MemoryUse use, long bytes) {
        counts.get(use).bytes += bytes;
    }
}
