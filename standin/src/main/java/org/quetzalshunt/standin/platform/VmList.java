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

/** List of VMs in which changes become visible after a fixed delay. */
final class VmList {
    private final long lagMillis;
    private final Deque<Change> pending = new ArrayDeque<>();
    private final Map<String, JsonNode> visible = new TreeMap<>();

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

    /** Makes the changes visible whose delay has passed. Not called while {@code LIST_FROZEN} is active. */
    void applyDueChanges(long nowMillis) {
        while (!pending.isEmpty() && pending.peekFirst().visibleMillis() <= nowMillis) {
            Change change = pending.removeFirst();
            change.vm().ifPresentOrElse(vm -> visible.put(change.name(), vm), () -> visible.remove(change.name()));
        }
    }

    byte[] toJson() {
        ObjectNode root = Json.object();
        ArrayNode vms = root.putArray("vms");
        visible.values().forEach(vms::add);
        return Json.bytes(root);
    }

    private record Change(String name, Optional<JsonNode> vm, long visibleMillis) {}
}
