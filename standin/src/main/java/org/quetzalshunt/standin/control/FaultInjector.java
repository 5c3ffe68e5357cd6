package org.quetzalshunt.standin.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quetzalshunt.wire.json.Json;

/** Active faults of a stand-in, at most one of each kind. Activating a fault replaces the active one of its kind. */
public final class FaultInjector {
    private static final String NONE = "none";

    private final Set<FaultKind> supported;
    private final LongSupplier clockMillis;
    private final Consumer<Fault> onActivation;
    private final Map<FaultKind, ActiveFault> activeFaults = new EnumMap<>(FaultKind.class);

    private FaultInjector(Set<FaultKind> supported, LongSupplier clockMillis, Consumer<Fault> onActivation) {
        this.supported = supported;
        this.clockMillis = clockMillis;
        this.onActivation = onActivation;
    }

    /** Creates an injector without active faults that accepts only the supported kinds from a request. */
    public static FaultInjector create(Set<FaultKind> supported, LongSupplier clockMillis) {
        return create(supported, clockMillis, fault -> {});
    }

    /** Like {@link #create(Set, LongSupplier)}, with a callback that runs whenever a fault is activated. */
    public static FaultInjector create(
            Set<FaultKind> supported, LongSupplier clockMillis, Consumer<Fault> onActivation) {
        return new FaultInjector(supported, clockMillis, onActivation);
    }

    /** Activates a fault. */
    public void set(Fault fault) {
        activeFaults.put(fault.kind(), new ActiveFault(fault, clockMillis.getAsLong()));
        onActivation.accept(fault);
    }

    /** Deactivates all faults. */
    public void clear() {
        activeFaults.clear();
    }

    /** Whether a fault of the kind is active. Does not reduce its remaining count. */
    public boolean isActive(FaultKind kind) {
        return active(kind).isPresent();
    }

    /** The active fault of the kind. Does not reduce its remaining count. */
    public Optional<Fault> active(FaultKind kind) {
        ActiveFault candidate = activeFaults.get(kind);
        if (candidate == null) {
            return Optional.empty();
        }
        if (candidate.expired(clockMillis.getAsLong())) {
            activeFaults.remove(kind);
            return Optional.empty();
        }
        return Optional.of(candidate.fault);
    }

    /** The active fault of the kind, applied to one request: reduces the remaining count by one. */
    public Optional<Fault> trigger(FaultKind kind) {
        Optional<Fault> fault = active(kind);
        if (fault.isPresent() && fault.get().count() > 0) {
            activeFaults.get(kind).remaining--;
        }
        return fault;
    }

    /**
     * Like {@link #trigger(FaultKind)}, but a fault with a count applies only to countable requests. The sidecar polls
     * the load report continuously and would otherwise use up the count before a chat completion arrives.
     */
    public Optional<Fault> trigger(FaultKind kind, boolean countable) {
        Optional<Fault> fault = active(kind);
        if (fault.isPresent() && fault.get().count() > 0 && !countable) {
            return Optional.empty();
        }
        return trigger(kind);
    }

    /** Applies the body of a {@code POST /standin/faults}. Returns an error message if the body is invalid. */
    Optional<String> apply(byte[] body) {
        JsonNode node = Json.parse(body).orElse(Json.object());
        String label = node.path("kind").asText("");
        if (NONE.equals(label)) {
            clear();
            return Optional.empty();
        }
        Optional<FaultKind> kind = FaultKind.fromLabel(label).filter(supported::contains);
        if (kind.isEmpty()) {
            return Optional.of("kind must be none or one of " + labels());
        }
        int count = node.path("count").asInt(0);
        long millis = node.path("millis").asLong(0);
        String text = node.path("text").asText("");
        if (count < 0 || millis < 0) {
            return Optional.of("count and millis must not be negative");
        }
        if (kind.get() == FaultKind.POISON && text.isEmpty()) {
            return Optional.of("poison requires a non-empty text");
        }
        set(new Fault(kind.get(), count, millis, text));
        return Optional.empty();
    }

    private String labels() {
        return supported.stream().map(FaultKind::label).sorted().toList().toString();
    }

    private static final class ActiveFault {
        private final Fault fault;
        private final long activatedMillis;
        private int remaining;

        private ActiveFault(Fault fault, long activatedMillis) {
            this.fault = fault;
            this.activatedMillis = activatedMillis;
            this.remaining = fault.count();
        }

        private boolean expired(long nowMillis) {
            boolean usedUp = fault.count() > 0 && remaining <= 0;
            boolean timedOut =
                    fault.kind().timed() && fault.millis() > 0 && nowMillis - activatedMillis >= fault.millis();
            return usedUp || timedOut;
        }
    }
}
