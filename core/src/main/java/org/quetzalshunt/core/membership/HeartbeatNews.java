package org.quetzalshunt.core.membership;

import java.util.List;

/**
 * One VM's word about itself, straight from it or passed on by another VM.
 *
 * @param vm name of the VM that the word is about
 * @param incarnation its incarnation
 * @param beat count of its heartbeats, by which a reader tells newer word from older; 0 for word that came straight
 * @param configurationNext offset of the first configuration record that it has not read
 * @param configurationAgeMillis time since it last read the configuration stream to its end
 * @param leaving whether it is stopping
 * @param ownedShards shards that it owns
 */
public record HeartbeatNews(
        String vm,
        long incarnation,
        long beat,
        long configurationNext,
        long configurationAgeMillis,
        boolean leaving,
        List<Integer> ownedShards) {

    /** Word that came straight from the VM, over its own connection. */
    public static HeartbeatNews of(
            String vm,
            long incarnation,
            long configurationNext,
            long configurationAgeMillis,
            boolean leaving,
            List<Integer> ownedShards) {
        return new HeartbeatNews(vm, incarnation, 0, configurationNext, configurationAgeMillis, leaving, ownedShards);
    }
}
