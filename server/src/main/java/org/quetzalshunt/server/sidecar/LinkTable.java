package org.quetzalshunt.server.sidecar;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.agrona.collections.Long2ObjectHashMap;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.Message;

/** Open links of entries, by the numbers under which the gate knows them. */
final class LinkTable {
    private final Long2ObjectHashMap<PeerLink> byNumber = new Long2ObjectHashMap<>();
    private final Map<PeerLink, Long> numbers = new HashMap<>();
    private long nextNumber;

    long add(PeerLink link) {
        long number = nextNumber++;
        byNumber.put(number, link);
        numbers.put(link, number);
        return number;
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

    /** Sends to a link, if it is still open. */
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
