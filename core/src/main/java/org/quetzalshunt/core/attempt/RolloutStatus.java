package org.quetzalshunt.core.attempt;

import java.util.List;

/**
 * Status of a {@link ModelRollout} for diagnostics.
 *
 * @param version version of the service document that names the wanted models
 * @param target models that the engine is to serve
 * @param loaded models in the engine's last report
 * @param phase name of the rollout's current phase
 * @param rolledBack whether the version failed to load, so that the target is the previous one
 * @param ordersGiven orders issued since the start
 */
public record RolloutStatus(
        long version,
        List<ModelVersion> target,
        List<ModelVersion> loaded,
        String phase,
        boolean rolledBack,
        long ordersGiven) {}
