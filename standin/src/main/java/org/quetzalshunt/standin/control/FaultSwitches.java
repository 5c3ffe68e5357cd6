package org.quetzalshunt.standin.control;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.quetzalshunt.wire.json.Json;

/** The faults that are on now. One of each kind; a later one replaces an earlier one of its kind. */
public final class FaultSwitches {
    private static final String NONE = "none";

    private final Set<FaultKind> supported;
    private final LongSupplier clockMillis;
    private final Consumer<Fault> whenSet;
    private final Map<FaultKind, Armed> armed = new EnumMap<>(FaultKind.class);

    private FaultSwitches(Set<FaultKind> supported, LongSupplier clockMillis, Consumer<Fault> whenSet) {
        this.supported = supported;
        this.clockMillis = clockMillis;
        this.whenSet = whenSet;
    }

    /** All off; only the kinds that the stand-in supports can be turned on. */
    public static FaultSwitches create(Set<FaultKind> supported, LongSupplier clockMillis) {
        return create(supported, clockMillis, fault -> {});
    }

    /** The same, with what happens at once when a fault is turned on. */
    public static FaultSwitches create(Set<FaultKind> supported, LongSupplier clockMillis, Consumer<Fault> whenSet) {
        return new FaultSwitches(supported, clockMillis, whenSet);
    }

    /** Turns a fault on. */
    public void set(Fault fault) {
        armed.put(fault.kind(), new Armed(fault, clockMillis.getAsLong()));
        whenSet.accept(fault);
    }

    /** Turns every fault off. */
    public void clear() {
        armed.clear();
    }

    /** Whether a fault is on; does not count as a hit. */
    public boolean on(FaultKind kind) {
        return standing(kind).isPresent();
    }

    /** The fault if it is on; does not count as a hit. */
    public Optional<Fault> standing(FaultKind kind) {
        Armed candidate = armed.get(kind);
        if (candidate == null) {
            return Optional.empty();
        }
        if (candidate.expired(clockMillis.getAsLong())) {
            armed.remove(kind);
            return Optional.empty();
        }
        return Optional.of(candidate.fault);
    }

    /** The fault if it is on; counts one request as hit. */
    public Optional<Fault> hit(FaultKind kind) {
        Optional<Fault> fault = standing(kind);
        if (fault.isPresent() && fault.get().count() > 0) {
            armed.get(kind).remaining--;
        }
        return fault;
    }

    /**
     * The fault if it is on and meant for this request. One with a count is for calls that do work: the reports that
     * a sidecar asks for all the time would use it up before it hit anything.
     */
    public Optional<Fault> hit(FaultKind kind, boolean work) {
        Optional<Fault> fault = standing(kind);
        if (fault.isPresent() && fault.get().count() > 0 && !work) {
            return Optional.empty();
        }
        return hit(kind);
    }

    /** Follows a {@code POST /standin/faults}; gives what is wrong with it, if anything. */
    Optional<String> order(byte[] body) {
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
            return Optional.of("poison needs a text");
        }
        set(new Fault(kind.get(), count, millis, text));
        return Optional.empty();
    }

    private String labels() {
        return supported.stream().map(FaultKind::label).sorted().toList().toString();
    }

    private static final class Armed {
        private final Fault fault;
        private final long sinceMillis;
        private int remaining;

        private Armed(Fault fault, long sinceMillis) {
            this.fault = fault;
            this.sinceMillis = sinceMillis;
            this.remaining = fault.count();
        }

        private boolean expired(long nowMillis) {
            boolean usedUp = fault.count() > 0 && remaining <= 0;
            boolean over = fault.kind().timed() && fault.millis() > 0 && nowMillis - sinceMillis >= fault.millis();
            return usedUp || over;
        }
    }
}
