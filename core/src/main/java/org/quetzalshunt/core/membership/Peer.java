package org.quetzalshunt.core.membership;

import java.util.List;
import org.quetzalshunt.core.vm.Vm;
import org.quetzalshunt.core.vm.VmId;

/** One VM of the platform's list in the membership view, with the state of its newest heartbeat. */
final class Peer {
    Vm vm;
    long incarnation;
    long sequence;
    boolean heartbeatReceived;
    long lastHeartbeatMillis;
    long connectionLostMillis = Long.MIN_VALUE;
    boolean announcedLeaving;
    long configurationNext;
    long configurationAgeMillis;
    List<Integer> ownedShards = List.of();
    boolean alive;
    int timesForwarded;

    Peer(Vm vm) {
        this.vm = vm;
    }

    /**
     * Discards the state of the former incarnation. Otherwise the new process would appear to own the shards of the
     * former one.
     */
    void restart(long newIncarnation) {
        incarnation = newIncarnation;
        sequence = 0;
        announcedLeaving = false;
        configurationNext = 0;
        configurationAgeMillis = 0;
        ownedShards = List.of();
        connectionLostMillis = Long.MIN_VALUE;
        timesForwarded = 0;
    }

    boolean leaving() {
        return announcedLeaving || vm.leaving();
    }

    Member toMember() {
        return new Member(
                VmId.of(vm.name(), incarnation),
                vm,
                alive,
                leaving(),
                lastHeartbeatMillis,
                configurationNext,
                configurationAgeMillis,
                ownedShards);
    }

    MemberHeartbeat toHeartbeat() {
        return new MemberHeartbeat(
                vm.name(),
                incarnation,
                sequence,
                configurationNext,
                configurationAgeMillis,
                announcedLeaving,
                ownedShards);
    }
}
