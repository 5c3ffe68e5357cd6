package org.quetzalshunt.core.membership;

import java.util.List;
import org.quetzalshunt.core.vm.Vm;
import org.quetzalshunt.core.vm.VmId;

/**
 * The state of an entry VM as seen by this VM.
 *
 * @param id name and newest known incarnation; incarnation 0 while the VM is only known from the platform's list
 * @param vm its entry in the platform's list
 * @param alive whether a heartbeat of it was received, directly or forwarded, within the timeout
 * @param leaving whether the VM itself or the platform's list announced its shutdown
 * @param lastHeartbeatMillis when its last heartbeat was received, by this VM's clock
 * @param configurationNext offset of the first configuration record that it has not read
 * @param configurationAgeMillis how long before that heartbeat it last read the configuration stream to its end
 * @param ownedShards shards that it announced to own
 */
public record Member(
        VmId id,
        Vm vm,
        boolean alive,
        boolean leaving,
        long lastHeartbeatMillis,
        long configurationNext,
        long configurationAgeMillis,
        List<Integer> ownedShards) {}
