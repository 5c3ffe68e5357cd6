package org.quetzalshunt.standin.engine;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.quetzalshunt.wire.json.Json;

final class PrefixCacheTest {
    private final PrefixCache cache = PrefixCache.create(10, CacheEvents.create(CacheSettings.defaults(), () -> 0));

    @Test
    void leastRecentlyUsedGoesFirst() {
        cache.store("a", words(4, "a"), false);
        cache.store("b", words(4, "b"), false);
        assertThat(cache.match(words(4, "a"))).isEqualTo(4);
        cache.store("c", words(4, "c"), false);
        assertThat(cache.match(words(4, "b"))).isEqualTo(0);
        assertThat(cache.match(words(4, "a"))).isEqualTo(4);
    }

    /**
     * Programs that are gone slow down those that live. Their entries stay held, so the cache has no room, and each
     * turn of a living program is read anew; only freeing the hold gives the room back.
     */
    @Test
    void heldEntryStaysUntilItIsFreed() {
        cache.store("held", words(8, "a"), true);
        assertThat(cache.store("new", words(4, "b"), false)).isFalse();
        cache.free("held");
        assertThat(cache.store("new", words(4, "b"), false)).isTrue();
        assertThat(cache.usedTokens()).isEqualTo(4);
    }

    @Test
    void unnamedEntryGivesWayToTheOneThatExtendsIt() {
        Prefix first = words(4, "a");
        cache.storeUnnamed(first);
        cache.storeUnnamed(first.withAnswer("b b"));
        assertThat(cache.usedTokens()).isEqualTo(6);
    }

    @Test
    void exportedBytesGiveTheSameEntry() {
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
