package org.quetzalshunt.core.membership;

import java.util.List;

/**
 * State of one VM as carried by heartbeats: its own, or those of other VMs that it received or forwards.
 *
 * @param vm name of the VM that the heartbeat describes
 * @param incarnation incarnation of that VM
 * @param sequence sequence number, which increases with each heartbeat round of an incarnation; 0 if the heartbeat has
 *     none, in which case it is never rejected as outdated within its incarnation. The state of a VM from which no
 *     numbered heartbeat was received in its incarnation is not forwarded.
 * @param configurationNext offset of the first configuration record that the VM has not read
 * @param configurationAgeMillis time between the VM's last read of the configuration stream to its end and the
 *     sending of the heartbeat
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

    /** Creates the state of a heartbeat without a sequence number. */
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
