package org.quetzalshunt.core.turn;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Which VM ran a turn, for the turns that this VM is the directory of; bounded, the oldest go first. Each turn has one
 * directory by rendezvous hashing over the VMs, so that two VMs that see the same members find each other through it.
 */
public final class TurnDirectory {
    private static final int MOST_TURNS = 8_192;

    private final LinkedHashMap<String, String> holders = new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, String> eldest) {
            return size() > MOST_TURNS;
        }
    };

    private TurnDirectory() {}

    /** Makes an empty directory. */
    public static TurnDirectory create() {
        return new TurnDirectory();
    }

    /** A VM ran the turn and holds it. */
    public void put(String turn, String vm) {
        holders.put(turn, vm);
    }

    /** The VM that holds the turn. */
    public Optional<String> find(String turn) {
        return Optional.ofNullable(holders.get(turn));
    }
}
