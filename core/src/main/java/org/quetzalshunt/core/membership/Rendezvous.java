package org.quetzalshunt.core.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Rendezvous hashing: every VM weighs each name with the key and takes the heaviest, so that a name that comes or goes
 * moves only the keys that it wins or loses. The hash is written out here because all VMs, also of other versions of
 * the program, must weigh alike.
 */
public final class Rendezvous {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Rendezvous() {}

    /** The name that wins the key; empty when there are no names. */
    public static Optional<String> winner(String key, List<String> names) {
        return names.stream()
                .max(Comparator.comparingLong((String name) -> weight(key, name))
                        .thenComparing(Comparator.naturalOrder()));
    }

    /** Weight of a name for a key; the same on every VM. */
    public static long weight(String key, String name) {
        return mix(hash(hash(FNV_OFFSET, key) ^ '/', name));
    }

    private static long hash(long seed, String text) {
        long hash = seed;
        for (int index = 0; index < text.length(); index++) {
            hash = (hash ^ text.charAt(index)) * FNV_PRIME;
        }
        return hash;
    }

    /** Finalizer of SplitMix64: spreads the weak high bits of FNV over the whole word, which the comparison needs. */
    private static long mix(long hash) {
        long mixed = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
