package org.quetzalshunt.core.attempt;

/** What a rollout wants asked or ordered. Never more than one is unanswered. */
public sealed interface RolloutOutput {
    /** Ask the weight store for a version; answer with {@link ModelRollout#onWeights}. */
    record FetchWeights(ModelVersion model) implements RolloutOutput {}

    /**
     * Order the engine to load or unload; answer with {@link ModelRollout#onOrder}.
     *
     * @param fencingToken version of the document, which an engine that checks refuses when it saw a higher one
     */
    record GiveOrder(boolean load, ModelVersion model, long fencingToken) implements RolloutOutput {}

    /** Ask the engine how an order stands; answer with {@link ModelRollout#onOrder}. */
    record AskOrder(String order) implements RolloutOutput {}
}
