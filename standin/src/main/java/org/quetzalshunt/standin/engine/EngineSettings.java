package org.quetzalshunt.standin.engine;

import java.util.List;

/**
 * Behaviour of the engine while no fault is active.
 *
 * @param models models that are loaded at the start
 * @param anyModel whether requests may name any model; otherwise requests for a model that is not loaded get status 404
 * @param role role at the start
 * @param loadLagMillis age of the figures in {@code /engine/load}
 * @param resumeMillis time for which a finished or abandoned request can be resumed
 */
public record EngineSettings(
        List<ModelVersion> models,
        boolean anyModel,
        String role,
        BatchSettings batch,
        CacheSettings cache,
        OrderSettings orders,
        long loadLagMillis,
        long resumeMillis) {

    /** One loaded model that serves requests for any model name, with a load report that is 300 ms old. */
    public static EngineSettings defaults() {
        return new EngineSettings(
                List.of(new ModelVersion("standin", "1")),
                true,
                "mixed",
                BatchSettings.defaults(),
                CacheSettings.defaults(),
                OrderSettings.defaults(),
                300,
                10_000);
    }

    /** Copy with other batch settings. */
    public EngineSettings withBatch(BatchSettings value) {
        return new EngineSettings(models, anyModel, role, value, cache, orders, loadLagMillis, resumeMillis);
    }

    /** Copy with other cache settings. */
    public EngineSettings withCache(CacheSettings value) {
        return new EngineSettings(models, anyModel, role, batch, value, orders, loadLagMillis, resumeMillis);
    }

    /** Copy with other order settings. */
    public EngineSettings withOrders(OrderSettings value) {
        return new EngineSettings(models, anyModel, role, batch, cache, value, loadLagMillis, resumeMillis);
    }

    /** Copy that serves only these models. */
    public EngineSettings withModels(List<ModelVersion> value) {
        return new EngineSettings(value, false, role, batch, cache, orders, loadLagMillis, resumeMillis);
    }

    /** Copy with load reports of another age. */
    public EngineSettings withLoadLagMillis(long value) {
        return new EngineSettings(models, anyModel, role, batch, cache, orders, value, resumeMillis);
    }
}
