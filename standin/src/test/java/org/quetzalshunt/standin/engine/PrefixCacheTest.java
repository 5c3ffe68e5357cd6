package org.quetzalshunt.standin.engine;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.quetzalshunt.wire.json.Json;

final class PrefixCacheTest {
    private final PrefixCache cache = PrefixCache.create(10, CacheEvents.create(CacheSettings.defaults(), () -> 0));

    @Test
    void leastRecentlyUsedEntryIsEvictedFirst() {
        cache.store("a", words(4, "a"), false);
        cache.store("b", words(4, "b"), false);
        assertThat(cache.match(words(4, "a"))).isEqualTo(4);
        cache.store("c", words(4, "c"), false);
        assertThat(cache.match(words(4, "b"))).isEqualTo(0);
        assertThat(cache.match(words(4, "a"))).isEqualTo(4);
    }

    /**
     * Guards against eviction of a held entry. The held entries of ended programs occupy the cache, so that the
     * prompts of running programs need a full prefill in each turn, until the entries are freed.
     */
    @Test
    void heldEntryIsNotEvictedUntilItIsFreed() {
        cache.store("held", words(8, "a"), true);
        assertThat(cache.store("new", words(4, "b"), false)).isFalse();
        cache.free("held");
        assertThat(cache.store("new", words(4, "b"), false)).isTrue();
        assertThat(cache.usedTokens()).isEqualTo(4);
    }

    @Test
    void unnamedEntryIsReplacedByTheOneThatExtendsIt() {
        Prefix first = words(4, "a");
        cache.storeUnnamed(first);
        cache.storeUnnamed(first.withAnswer("b b"));
        assertThat(cache.usedTokens()).isEqualTo(6);
    }

    @Test
    void importOfExportedBytesYieldsTheSameEntry() {
        Prefix prefix = words(4, "a").withAnswer("b b");
        Prefix copy = Prefix.fromBytes(prefix.toBytes()).orElseThrow();
        assertThat(copy.sharedTokens(prefix)).isEqualTo(6);
        assertThat(Prefix.fromBytes(new byte[] {1, 2, 3})).isEmpty();
    }

    private static Prefix words(int count, String word) {
        var messages = Json.array();
        messages.addObject().put("role", "user").put("content", (word + " ").repeat(count));
        return Prefix.of(messages);
    }
}
