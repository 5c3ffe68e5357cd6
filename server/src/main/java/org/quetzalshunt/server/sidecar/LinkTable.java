package org.quetzalshunt.server.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agrona.collections.Long2ObjectHashMap;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.Message;

/** Open links to entries, by the numbers that identify them to the gate. */
final class LinkTable {
    private final Long2ObjectHashMap<PeerLink> byNumber = new Long2ObjectHashMap<>();
    private final Map<PeerLink, Long> numbers = new HashMap<>();
    private final Map<String, Long> incarnations = new HashMap<>();
    private long nextNumber;

    long add(PeerLink link) {
        long number = nextNumber++;
        byNumber.put(number, link);
        numbers.put(link, number);
        return number;
    }

    /**
     * Records the incarnation of a newly opened link. Returns false if a higher incarnation of the VM has connected
     * before. Guards against orders from an entry process that was replaced but still runs, for example after a pause,
     * or whose connection is half-open.
     */
    boolean recordIncarnation(PeerLink link) {
        VmId id = link.remote().id();
        long highest = incarnations.merge(id.name(), id.incarnation(), Math::max);
        return id.incarnation() == highest;
    }

    /** Links of earlier incarnations of the same VM. */
    List<PeerLink> listSuperseded(PeerLink current) {
        VmId id = current.remote().id();
        return list().stream()
                .filter(link -> link.remote().id().name().equals(id.name()))
                .filter(link -> link.remote().id().incarnation() < id.incarnation())
                .toList();
    }

    Optional<Long> number(PeerLink link) {
        return Optional.ofNullable(numbers.get(link));
    }

    Optional<Long> remove(PeerLink link) {
        Long number = numbers.remove(link);
        if (number == null) {
            return Optional.empty();
        }
        byNumber.remove(number.longValue());
        return Optional.of(number);
    }

    /** Sends a message; does nothing when the link is closed. */
    void send(long number, Message message) {
        PeerLink link = byNumber.get(number);
        if (link != null) {
            link.send(message);
        }
    }

    List<PeerLink> list() {
        return new ArrayList<>(byNumber.values());
    }

    boolean isEmpty() {
        return byNumber.isEmpty();
    }
}
