package org.quetzalshunt.core.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Estimated contents of the prefix cache of one endpoint: the prompt parts that were sent there, minus those that the
 * engine must have evicted. Like the engines, it evicts the least recently used part first.
 */
final class PrefixCache {
    /** Limits the table size for endpoints that do not report the size of their memory. */
    private static final int MAXIMUM_PARTS = 4_096;

    private final LinkedHashMap<String, Long> tokensByPart = new LinkedHashMap<>();
    private long totalTokens;

    /** Adds a part that was sent to the endpoint. The recorded size of a part grows but never shrinks. */
    void add(PrefixPart part, long capacityTokens) {
        // Reinsertion makes the part the most recently used one; a lookup does not count as a use.
        Long previousTokens = tokensByPart.remove(part.id());
        long oldTokens = previousTokens == null ? 0 : previousTokens;
        long newTokens = Math.max(oldTokens, part.tokens());
        tokensByPart.put(part.id(), newTokens);
        totalTokens += newTokens - oldTokens;
        evict(capacityTokens);
    }

    private void evict(long capacityTokens) {
        Iterator<Map.Entry<String, Long>> oldest = tokensByPart.entrySet().iterator();
        while ((totalTokens > capacityTokens || tokensByPart.size() > MAXIMUM_PARTS) && tokensByPart.size() > 1) {
            totalTokens -= oldest.next().getValue();
            oldest.remove();
        }
    }

    /** Whether a part is cached at its full size. */
    boolean contains(PrefixPart part) {
        return cachedTokens(part) >= part.tokens();
    }

    /** Returns the number of leading parts of a prompt that are cached at least partly. */
    int cachedParts(List<PrefixPart> prompt) {
        int count = 0;
        while (count < prompt.size() && cachedTokens(prompt.get(count)) > 0) {
            count++;
        }
        return count;
    }

    private long cachedTokens(PrefixPart part) {
        return tokensByPart.getOrDefault(part.id(), 0L);
    }

    /** Returns the tokens of a prompt that need prefill: all of them from the first uncached token on. */
    long uncachedTokens(List<PrefixPart> prompt) {
        long uncached = 0;
        boolean gap = false;
        for (PrefixPart part : prompt) {
            long cached = gap ? 0 : Math.min(part.tokens(), cachedTokens(part));
            uncached += part.tokens() - cached;
            gap |= cached < part.tokens();
        }
        return uncached;
    }

    void clear() {
        tokensByPart.clear();
        totalTokens = 0;
    }
}
