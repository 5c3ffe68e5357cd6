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
 * Finds the client account of a key's hash. Candidates are found by the first octets of the hash and compared in
 * constant time: what the look-up's duration could tell is a prefix of a hash, from which no key can be made.
 */
final class KeyIndex {
    private static final int PREFIX_DIGITS = 15;
    private static final int HASH_DIGITS = 64;
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
        return first(keyHash, owner -> owner.service().equals(service));
    }

    Optional<String> findAccount(String keyHash) {
        return first(keyHash, owner -> true).map(KeyOwner::account).map(ClientAccount::name);
    }

    private void add(String hash, KeyOwner owner) {
        if (hash.length() != HASH_DIGITS) {
            return;
        }
        byPrefix.computeIfAbsent(prefix(hash), ignored -> new ArrayList<>(1))
                .add(new Entry(hash.getBytes(StandardCharsets.US_ASCII), owner));
    }

    private Optional<KeyOwner> first(String keyHash, Predicate<KeyOwner> wanted) {
        if (keyHash.length() != HASH_DIGITS) {
            return Optional.empty();
        }
        List<Entry> candidates = byPrefix.get(prefix(keyHash));
        if (candidates == null) {
            return Optional.empty();
        }
        byte[] shown = keyHash.getBytes(StandardCharsets.US_ASCII);
        KeyOwner found = null;
        for (Entry candidate : candidates) {
            boolean equal = MessageDigest.isEqual(candidate.hash(), shown);
            if (equal && found == null && wanted.test(candidate.owner())) {
                found = candidate.owner();
            }
        }
        return Optional.ofNullable(found);
    }

    private static long prefix(String hash) {
        try {
            return Long.parseLong(hash.substring(0, PREFIX_DIGITS), HEXADECIMAL);
        } catch (NumberFormatException noHash) {
            return -1;
        }
    }

    private record Entry(byte[] hash, KeyOwner owner) {}
}
