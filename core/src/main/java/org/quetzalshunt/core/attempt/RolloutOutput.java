package org.quetzalshunt.core.attempt;

/** Request of a rollout to the weight store or the engine. At most one is unanswered at any time. */
public sealed interface RolloutOutput {
    /** Request a model version from the weight store; report with {@link ModelRollout#onWeights}. */
    record FetchWeights(ModelVersion model) implements RolloutOutput {}

    /**
     * Order the engine to load or unload a model version; report with {@link ModelRollout#onOrder}.
     *
     * @param fencingToken version of the service document; an engine that checks fencing refuses a token that is lower
     *     than the highest it has accepted
     */
    record SendOrder(boolean load, ModelVersion model, long fencingToken) implements RolloutOutput {}

    /** Query the state of an order at the engine; report with {@link ModelRollout#onOrder}. */
    record QueryOrder(String order) implements RolloutOutput {}
}
