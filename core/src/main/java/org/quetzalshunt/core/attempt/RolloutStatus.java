package org.quetzalshunt.core.attempt;

import java.util.List;

/**
 * Where a rollout stands, for dumps.
 *
 * @param version version of the document whose models are wanted
 * @param target models that the engine is being brought to
 * @param loaded models that the engine named last
 * @param phase what the rollout waits for
 * @param rolledBack whether the version failed to load, so that the target is the former one
 * @param ordersGiven orders since the start
 */
public record RolloutStatus(
        long version,
        List<ModelVersion> target,
        List<ModelVersion> loaded,
        String phase,
        boolean rolledBack,
        long ordersGiven) {}
