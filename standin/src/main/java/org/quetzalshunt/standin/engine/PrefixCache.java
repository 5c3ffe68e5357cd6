package org.quetzalshunt.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalshunt.wire.json.Json;

/**
 * Prefix cache of limited capacity with eviction of the least recently used entry. Held entries are never evicted, so
 * that held entries which are never freed reduce the capacity for all others. Entries do not share storage.
 */
final class PrefixCache {
    private static final String UNNAMED = "unnamed-";

    private final int capacityTokens;
    private final CacheEvents events;
    private final Map<String, Entry> entries = new LinkedHashMap<>(16, 0.75f, true);
    private int usedTokens;

    private PrefixCache(int capacityTokens, CacheEvents events) {
        this.capacityTokens = capacityTokens;
        this.events = events;
    }

    static PrefixCache create(int capacityTokens, CacheEvents events) {
        return new PrefixCache(capacityTokens, events);
    }

    /** Number of prompt tokens that the best matching entry covers. That entry becomes the most recently used one. */
    int match(Prefix prompt) {
        String bestKey = "";
        int bestTokens = 0;
        for (Map.Entry<String, Entry> candidate : entries.entrySet()) {
            int shared = candidate.getValue().prefix().sharedTokens(prompt);
            if (shared > bestTokens) {
                bestTokens = shared;
                bestKey = candidate.getKey();
            }
        }
        if (bestTokens > 0) {
            entries.get(bestKey);
        }
        return bestTokens;
    }

    /**
     * Stores or replaces an entry. Returns false if the capacity that held entries do not occupy is too small; an entry
     * that was to be replaced is then evicted.
     */
    boolean store(String key, Prefix prefix, boolean held) {
        Entry former = entries.remove(key);
        if (former != null) {
            usedTokens -= former.prefix().totalTokens();
        }
        if (!makeRoom(prefix.totalTokens())) {
            if (former != null) {
                events.evicted(key, former.prefix().totalTokens());
            }
            return false;
        }
        entries.put(key, new Entry(prefix, held));
        usedTokens += prefix.totalTokens();
        events.stored(key, prefix.totalTokens());
        return true;
    }

    /**
     * Stores a conversation that has no cache key and removes the unnamed entries that it extends. An engine that
     * shares cache blocks by content would likewise store the common prefix only once.
     */
    void storeUnnamed(Prefix prefix) {
        List<String> extended = entries.entrySet().stream()
                .filter(entry ->
                        entry.getKey().startsWith(UNNAMED) && entry.getValue().isPrefixOf(prefix))
                .map(Map.Entry::getKey)
                .toList();
        extended.forEach(this::free);
        store(UNNAMED + Long.toHexString(prefix.lastDigest()), prefix, false);
    }

    void free(String key) {
        Entry entry = entries.remove(key);
        if (entry == null) {
            return;
        }
        usedTokens -= entry.prefix().totalTokens();
        events.evicted(key, entry.prefix().totalTokens());
    }

    Optional<Prefix> export(String key) {
        return Optional.ofNullable(entries.get(key)).map(Entry::prefix);
    }

    void clear() {
        entries.clear();
        usedTokens = 0;
    }

    int usedTokens() {
        return usedTokens;
    }

    byte[] toJson() {
        ObjectNode root = Json.object();
        ArrayNode nodes = root.putArray("entries");
        entries.forEach((key, entry) -> nodes.addObject()
                .put("key", key)
                .put("tokens", entry.prefix().totalTokens())
                .put("held", entry.held()));
        return Json.bytes(root);
    }

    private boolean makeRoom(int tokens) {
        Iterator<Map.Entry<String, Entry>> oldest = entries.entrySet().iterator();
        while (usedTokens + tokens > capacityTokens && oldest.hasNext()) {
            Map.Entry<String, Entry> candidate = oldest.next();
            if (candidate.getValue().held()) {
                continue;
            }
            oldest.remove();
            usedTokens -= candidate.getValue().prefix().totalTokens();
            events.evicted(candidate.getKey(), candidate.getValue().prefix().totalTokens());
        }
        return usedTokens + tokens <= capacityTokens;
    }

    private record Entry(Prefix prefix, boolean held) {
        private boolean isPrefixOf(Prefix other) {
            return prefix.sharedTokens(other) == prefix.totalTokens();
        }
    }
}
