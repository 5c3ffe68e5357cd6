package org.quetzalshunt.core.turn;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Maps turns to the VMs that ran them and have them in their cache. Rendezvous hashing assigns each turn to one VM, so
 * that VMs with the same view of the membership agree on it, and the directory of a VM contains the turns assigned to
 * that VM. It is bounded and evicts the oldest entry.
 */
public final class TurnDirectory {
    private static final int MAXIMUM_TURNS = 8_192;

    private final LinkedHashMap<String, String> holders = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
            return size() > MAXIMUM_TURNS;
        }
    };

    private TurnDirectory() {}

    /** Creates an empty directory. */
    public static TurnDirectory create() {
        return new TurnDirectory();
    }

    /** Records that a VM ran a turn and has it in its cache. */
    public void put(String turn, String vm) {
        holders.put(turn, vm);
    }

    /** Finds the VM that has a turn in its cache. */
    public Optional<String> find(String turn) {
        return Optional.ofNullable(holders.get(turn));
    }
}
