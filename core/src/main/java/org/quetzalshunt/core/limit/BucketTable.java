package org.quetzalshunt.core.limit;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.agrona.collections.Object2ObjectHashMap;

/** Table of the client accounts, one row each. Rows are never removed: a row may hold parts of a removed account. */
final class BucketTable {
    private final Object2ObjectHashMap<AccountKey, Bucket> index = new Object2ObjectHashMap<>();
    private final List<Bucket> rows = new ArrayList<>();

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
        rows.add(added);
        onAdded.accept(added);
        return added;
    }

    List<Bucket> rows() {
        return rows;
    }
}
