package org.quetzalshunt.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.quetzalshunt.wire.json.Json;

/** VMs as they are, shown as they were a lag ago. */
final class VmList {
    private final long lagMillis;
    private final Deque<Change> pending = new ArrayDeque<>();
    private final Map<String, JsonNode> shown = new TreeMap<>();

    private VmList(long lagMillis) {
        this.lagMillis = lagMillis;
    }

    static VmList create(long lagMillis) {
        return new VmList(lagMillis);
    }

    void put(String name, JsonNode vm, long nowMillis) {
        pending.addLast(new Change(name, Optional.of(vm), nowMillis + lagMillis));
    }

    void delete(String name, long nowMillis) {
        pending.addLast(new Change(name, Optional.empty(), nowMillis + lagMillis));
    }

    /** Lets those changes show whose lag is over; a frozen list leaves this out. */
    void catchUp(long nowMillis) {
        while (!pending.isEmpty() && pending.peekFirst().visibleMillis() <= nowMillis) {
            Change change = pending.removeFirst();
            change.vm().ifPresentOrElse(vm -> shown.put(change.name(), vm), () -> shown.remove(change.name()));
        }
    }

    byte[] toJson() {
        ObjectNode root = Json.object();
        ArrayNode vms = root.putArray("vms");
        shown.values().forEach(vms::add);
        return Json.bytes(root);
    }

    private record Change(String name, Optional<JsonNode> vm, long visibleMillis) {}
}
