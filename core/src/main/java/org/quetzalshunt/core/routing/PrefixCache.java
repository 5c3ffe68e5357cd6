package org.quetzalshunt.core.routing;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The parts of prompts that one endpoint is believed to hold: what was sent there, less what its memory had to give up.
 * Engines give up the least recently used part first, and so does this table.
 */
final class PrefixCache {
    /** Bounds the table where an endpoint does not tell the size of its memory. */
    private static final int MOST_PARTS = 4_096;

    private final LinkedHashMap<String, Long> tokensByPart = new LinkedHashMap<>();
    private long held;

    /** Takes in a part that was sent there; a part that it holds grows, but does not shrink. */
    void hold(PrefixPart part, long capacityTokens) {
        // Taken out and put in again, it is the newest; a look-up does not count as a use.
        Long former = tokensByPart.remove(part.id());
        long before = former == null ? 0 : former;
        long now = Math.max(before, part.tokens());
        tokensByPart.put(part.id(), now);
        held += now - before;
        evict(capacityTokens);
    }

    private void evict(long capacityTokens) {
        Iterator<Map.Entry<String, Long>> oldest = tokensByPart.entrySet().iterator();
        while ((held > capacityTokens || tokensByPart.size() > MOST_PARTS) && tokensByPart.size() > 1) {
            held -= oldest.next().getValue();
            oldest.remove();
        }
    }

    /** Whether it holds as much of a part as that, or more. */
    boolean holds(PrefixPart part) {
        return heldTokens(part) >= part.tokens();
    }

    /** How many of a prompt's first parts it holds at all; the last of them may have grown since. */
    int heldParts(List<PrefixPart> prompt) {
        int count = 0;
        while (count < prompt.size() && heldTokens(prompt.get(count)) > 0) {
            count++;
        }
        return count;
    }

    private long heldTokens(PrefixPart part) {
        return tokensByPart.getOrDefault(part.id(), 0L);
    }

    /** Tokens of a prompt that it would have to read: all that follows the first part that it does not hold whole. */
    long uncachedTokens(List<PrefixPart> prompt) {
        long missing = 0;
        boolean gap = false;
        for (PrefixPart part : prompt) {
            long here = gap ? 0 : Math.min(part.tokens(), heldTokens(part));
            missing += part.tokens() - here;
            gap |= here < part.tokens();
        }
        return missing;
    }

    void clear() {
        tokensByPart.clear();
        held = 0;
    }
}
