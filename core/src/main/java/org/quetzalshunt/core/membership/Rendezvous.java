package org.quetzalshunt.core.membership;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Rendezvous hashing: every VM computes the weight of each name for a key and selects the name with the highest weight.
 * A name that is added or removed therefore moves only the keys that it gains or loses. The hash is implemented here
 * because all VMs, including those that run another version of the program, must compute the same weights.
 */
public final class Rendezvous {
    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private Rendezvous() {}

    /** The name with the highest weight for the key; empty if there are no names. */
    public static Optional<String> winner(String key, List<String> names) {
        return names.stream()
                .max(Comparator.comparingLong((String name) -> weight(key, name))
                        .thenComparing(Comparator.naturalOrder()));
    }

    /** Weight of a name for a key, identical on every VM. */
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

    /**
     * Finalizer of SplitMix64. It spreads the weak high bits of FNV over the whole word, on which the comparison of
     * weights relies.
     */
    private static long mix(long hash) {
        long mixed = (hash ^ (hash >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
