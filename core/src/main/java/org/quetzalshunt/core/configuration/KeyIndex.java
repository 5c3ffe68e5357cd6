package org.quetzalshunt.core.configuration;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.agrona.collections.Long2ObjectHashMap;
import org.quetzalshunt.core.document.ClientAccount;

/**
 * Finds the client account for the hash of a key. Candidates are looked up by a prefix of the hash and compared in
 * constant time. The timing of a look-up can reveal at most a hash prefix, from which the key cannot be derived.
 */
final class KeyIndex {
    private static final int PREFIX_HEX_DIGITS = 15;
    private static final int HASH_HEX_DIGITS = 64;
    private static final int HEXADECIMAL = 16;

    private final Long2ObjectHashMap<List<Entry>> byPrefix = new Long2ObjectHashMap<>();

    private KeyIndex() {}

    static KeyIndex of(Collection<VersionedDocument> documents) {
        KeyIndex index = new KeyIndex();
        for (VersionedDocument versioned : documents) {
            versioned.document().ifPresent(document -> document.accounts().forEach(account -> account.keyHashes()
                    .forEach(hash -> index.add(hash, new KeyOwner(versioned.service(), account)))));
        }
        return index;
    }

    Optional<KeyOwner> find(String service, String keyHash) {
        return findFirst(keyHash, owner -> owner.service().equals(service));
    }

    Optional<String> findAccount(String keyHash) {
        return findFirst(keyHash, owner -> true).map(KeyOwner::account).map(ClientAccount::name);
    }

    private void add(String hash, KeyOwner owner) {
        if (hash.length() != HASH_HEX_DIGITS) {
            return;
        }
        byPrefix.computeIfAbsent(prefix(hash), ignored -> new ArrayList<>(1))
                .add(new Entry(hash.getBytes(StandardCharsets.US_ASCII), owner));
    }

    private Optional<KeyOwner> findFirst(String keyHash, Predicate<KeyOwner> filter) {
        if (keyHash.length() != HASH_HEX_DIGITS) {
            return Optional.empty();
        }
        List<Entry> candidates = byPrefix.get(prefix(keyHash));
        if (candidates == null) {
            return Optional.empty();
        }
        byte[] presentedHash = keyHash.getBytes(StandardCharsets.US_ASCII);
        KeyOwner found = null;
        for (Entry candidate : candidates) {
            boolean equal = MessageDigest.isEqual(candidate.hash(), presentedHash);
            if (equal && found == null && filter.test(candidate.owner())) {
                found = candidate.owner();
            }
        }
        return Optional.ofNullable(found);
    }

    private static long prefix(String hash) {
        try {
            return Long.parseLong(hash.substring(0, PREFIX_HEX_DIGITS), HEXADECIMAL);
        } catch (NumberFormatException notHexadecimal) {
            return -1;
        }
    }

    private record Entry(byte[] hash, KeyOwner owner) {}
}
