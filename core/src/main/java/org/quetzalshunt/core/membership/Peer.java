package org.quetzalshunt.core.membership;

import java.util.List;
import org.quetzalshunt.core.vm.Vm;
import org.quetzalshunt.core.vm.VmId;

/** Row of the membership table: one VM of the list, and the newest word about it. */
final class Peer {
    Vm vm;
    long incarnation;
    long beat;
    boolean heard;
    long lastHeardMillis;
    long connectionLostMillis = Long.MIN_VALUE;
    boolean ownWordLeaving;
    long configurationNext;
    long configurationAgeMillis;
    List<Integer> ownedShards = List.of();
    boolean alive;
    int timesPassedOn;

    Peer(Vm vm) {
        this.vm = vm;
    }

    /** Forgets what a former incarnation said. Guards against a replaced VM that inherits the dead one's shards. */
    void restart(long newIncarnation) {
        incarnation = newIncarnation;
        beat = 0;
        ownWordLeaving = false;
        configurationNext = 0;
        configurationAgeMillis = 0;
        ownedShards = List.of();
        connectionLostMillis = Long.MIN_VALUE;
        timesPassedOn = 0;
    }

    boolean leaving() {
        return ownWordLeaving || vm.leaving();
    }

    Member toMember() {
        return new Member(
                VmId.of(vm.name(), incarnation),
                vm,
                alive,
                leaving(),
                lastHeardMillis,
                configurationNext,
                configurationAgeMillis,
                ownedShards);
    }

    HeartbeatNews toNews() {
        return new HeartbeatNews(
                vm.name(), incarnation, beat, configurationNext, configurationAgeMillis, ownWordLeaving, ownedShards);
    }
}
