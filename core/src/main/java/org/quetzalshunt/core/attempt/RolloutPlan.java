package org.quetzalshunt.core.attempt;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * The target models of an engine, the models to roll back to, and the next step from the loaded models to the target.
 */
final class RolloutPlan {
    private final Set<String> managedNames = new HashSet<>();
    private long version = Long.MIN_VALUE;
    private List<ModelVersion> target = List.of();
    private Optional<List<ModelVersion>> previous = Optional.empty();
    private boolean isRolledBack;
    private boolean isReached;

    /** Load or unload of one model version. */
    record Step(boolean load, ModelVersion model) {}

    /** Replaces the target. Returns false if the version is not newer or the list is empty. */
    boolean updateTarget(long newVersion, List<ModelVersion> models) {
        if (newVersion <= version || models.isEmpty()) {
            return false;
        }
        previous = isReached ? Optional.of(target) : Optional.empty();
        version = newVersion;
        target = List.copyOf(models);
        isRolledBack = false;
        isReached = false;
        models.forEach(model -> managedNames.add(model.model()));
        return true;
    }

    /**
     * Returns the next step, or empty once the target is reached. Loads come before unloads, so that a version is
     * unloaded only when its replacement is loaded. Models whose names no document has contained are left alone.
     */
    Optional<Step> nextStep(List<ModelVersion> loaded) {
        if (previous.isEmpty()) {
            previous = Optional.of(filterManaged(loaded));
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
        isReached = true;
        return Optional.empty();
    }

    /**
     * Makes the previous models the target again after a load has failed for good. Has no effect without previous
     * models.
     */
    void rollBack() {
        if (isRolledBack || previous.isEmpty() || previous.get().isEmpty()) {
            return;
        }
        isRolledBack = true;
        target = previous.get();
    }

    /** Returns whether the engine serves a model that a step could unload. */
    boolean servesManagedModel(List<ModelVersion> loaded) {
        return !filterManaged(loaded).isEmpty();
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
        return isRolledBack;
    }

    private List<ModelVersion> filterManaged(List<ModelVersion> loaded) {
        return loaded.stream()
                .filter(model -> managedNames.contains(model.model()))
                .toList();
    }
}
