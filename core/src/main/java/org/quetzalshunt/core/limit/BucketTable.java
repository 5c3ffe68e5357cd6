package org.quetzalshunt.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.agrona.collections.Object2ObjectHashMap;

/**
 * The buckets of the client accounts. Buckets are never removed, since a bucket may hold parts of a removed account.
 */
final class BucketTable {
    private final Object2ObjectHashMap<AccountKey, Bucket> index = new Object2ObjectHashMap<>();
    private final List<Bucket> buckets = new ArrayList<>();

    Optional<Bucket> find(AccountKey key) {
        return Optional.ofNullable(index.get(key));
    }

    Bucket findOrAdd(AccountKey key, long nowMillis, Consumer<Bucket> onAdded) {
        Bucket known = index.get(key);
        if (known != null) {
            return known;
        }
        Bucket added = new Bucket(key, nowMillis);
        index.put(key, added);
        buckets.add(added);
        onAdded.accept(added);
        return added;
    }

    List<Bucket> buckets() {
        return buckets;
    }
}
