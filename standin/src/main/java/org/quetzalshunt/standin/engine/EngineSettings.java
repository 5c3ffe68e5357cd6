package org.quetzalshunt.standin.engine;

import java.util.List;

/**
 * How the engine behaves when no fault is on.
 *
 * @param models what is loaded at the start
 * @param anyModel whether requests may name anything; otherwise those for what is not loaded get 404
 * @param role role at the start
 * @param loadLagMillis age of what {@code /engine/load} reports
 * @param resumeMillis how long a finished or abandoned request can be resumed
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

    /** One model under any name, with a load report 300 ms late. */
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

    /** The same with a batch of another speed or size. */
    public EngineSettings withBatch(BatchSettings value) {
        return new EngineSettings(models, anyModel, role, value, cache, orders, loadLagMillis, resumeMillis);
    }

    /** The same with another cache. */
    public EngineSettings withCache(CacheSettings value) {
        return new EngineSettings(models, anyModel, role, batch, value, orders, loadLagMillis, resumeMillis);
    }

    /** The same with orders taken in another way. */
    public EngineSettings withOrders(OrderSettings value) {
        return new EngineSettings(models, anyModel, role, batch, cache, value, loadLagMillis, resumeMillis);
    }

    /** The same with other models, and nothing else served. */
    public EngineSettings withModels(List<ModelVersion> value) {
        return new EngineSettings(value, false, role, batch, cache, orders, loadLagMillis, resumeMillis);
    }

    /** The same with load reports of another age. */
    public EngineSettings withLoadLagMillis(long value) {
        return new EngineSettings(models, anyModel, role, batch, cache, orders, value, resumeMillis);
    }
}
