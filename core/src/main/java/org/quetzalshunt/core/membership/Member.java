package org.quetzalshunt.core.membership;

import java.util.List;
import org.quetzalshunt.core.vm.Vm;
import org.quetzalshunt.core.vm.VmId;

/**
 * What one VM knows of an entry VM.
 *
 * @param id name and newest incarnation heard of; incarnation 0 while only the platform's list names it
 * @param vm its line in the platform's list
 * @param alive whether it was heard, straight or through others, within the time limit
 * @param leaving whether it, or the list, says that it stops
 * @param lastHeardMillis local time of the last word, by the reader's clock
 * @param configurationNext offset of the first configuration record that it has not read
 * @param configurationAgeMillis how long before that word it last read the configuration stream to its end
 * @param ownedShards shards that it says it owns
 */
public record Member(
        VmId id,
        Vm vm,
        boolean alive,
        boolean leaving,
        long lastHeardMillis,
        long configurationNext,
        long configurationAgeMillis,
        List<Integer> ownedShards) {}
