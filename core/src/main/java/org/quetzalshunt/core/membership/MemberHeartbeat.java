package org.quetzalshunt.core.membership;

import java.util.List;

/**
 * The state that one VM announces in its heartbeat, received directly or forwarded by another VM.
 *
 * @param vm name of the VM that the heartbeat describes
 * @param incarnation incarnation of that VM
 * @param sequence number of the heartbeat, by which newer heartbeats are distinguished from older ones; 0 for a
 *     heartbeat without one, which always counts as new and is not forwarded
 * @param configurationNext offset of the first configuration record that the VM has not read
 * @param configurationAgeMillis time since the VM last read the configuration stream to its end
 * @param leaving whether the VM is shutting down
 * @param ownedShards shards that the VM owns
 */
public record MemberHeartbeat(
        String vm,
        long incarnation,
        long sequence,
        long configurationNext,
        long configurationAgeMillis,
        boolean leaving,
        List<Integer> ownedShards) {

    /** Creates the state of a heartbeat without a sequence number, received directly from the VM. */
    public static MemberHeartbeat of(
            String vm,
            long incarnation,
            long configurationNext,
            long configurationAgeMillis,
            boolean leaving,
            List<Integer> ownedShards) {
        return new MemberHeartbeat(vm, incarnation, 0, configurationNext, configurationAgeMillis, leaving, ownedShards);
    }
}
