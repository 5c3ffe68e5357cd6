package org.quetzalshunt.core.attempt;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** What is wanted of an engine's models, what was in force before, and the next difference to what is loaded. */
final class RolloutPlan {
    private final Set<String> managedNames = new HashSet<>();
    private long version = Long.MIN_VALUE;
    private List<ModelVersion> target = List.of();
    private Optional<List<ModelVersion>> former = Optional.empty();
    private boolean rolledBack;
    private boolean reached;

    /** One change of the engine's models. */
    record Step(boolean load, ModelVersion model) {}

    /** Takes a newer version up; false for one that is not newer, and for one that names nothing. */
    boolean desire(long newVersion, List<ModelVersion> models) {
        if (newVersion <= version || models.isEmpty()) {
            return false;
        }
        former = reached ? Optional.of(target) : Optional.empty();
        version = newVersion;
        target = List.copyOf(models);
        rolledBack = false;
        reached = false;
        models.forEach(model -> managedNames.add(model.model()));
        return true;
    }

    /**
     * Loads come before unloads, so that a version that serves is only given up for one that does. Models whose names
     * no document has named are left alone.
     */
    Optional<Step> next(List<ModelVersion> loaded) {
        if (former.isEmpty()) {
            former = Optional.of(managedAmong(loaded));
        }
        for (ModelVersion wanted : target) {
            if (!loaded.contains(wanted)) {
                return Optional.of(new Step(true, wanted));
            }
        }
        for (ModelVersion present : loaded) {
            if (!target.contains(present) && managedNames.contains(present.model())) {
                return Optional.of(new Step(false, present));
            }
        }
        reached = true;
        return Optional.empty();
    }

    /** A load failed for good: back to what served before. */
    void rollBack() {
        if (rolledBack || former.isEmpty() || former.get().isEmpty()) {
            return;
        }
        rolledBack = true;
        target = former.get();
    }

    /** Whether the engine serves something that a step could take away. */
    boolean replacesSomething(List<ModelVersion> loaded) {
        return !managedAmong(loaded).isEmpty();
    }

    boolean isEmpty() {
        return target.isEmpty();
    }

    long version() {
        return version;
    }

    List<ModelVersion> target() {
        return target;
    }

    boolean isRolledBack() {
        return rolledBack;
    }

    private List<ModelVersion> managedAmong(List<ModelVersion> loaded) {
        return loaded.stream()
                .filter(model -> managedNames.contains(model.model()))
                .toList();
    }
}
