package org.quetzalshunt.standin;

import java.util.List;
import java.util.concurrent.Callable;
import org.quetzalshunt.standin.engine.BatchSettings;
import org.quetzalshunt.standin.engine.CacheSettings;
import org.quetzalshunt.standin.engine.EngineSettings;
import org.quetzalshunt.standin.engine.EngineStandin;
import org.quetzalshunt.standin.engine.ModelVersion;
import org.quetzalshunt.standin.engine.OrderSettings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

@Command(
        name = "engine",
        mixinStandardHelpOptions = true,
        description = "Model engine with continuous batching and a prefix cache.")
final class EngineCommand implements Callable<Integer> {
    private static final int HALT_EXIT_CODE = 70;

    @Spec
    private CommandSpec command;

    @Mixin
    private ListenOptions listen;

    @Option(
            names = "--models",
            split = ",",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_MODELS:-standin@1}",
            description = "models that are loaded at the start, as model@version (default: ${DEFAULT-VALUE})")
    private List<String> models;

    @Option(
            names = "--loaded-models-only",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_LOADED_MODELS_ONLY:-false}",
            description = "answer requests for a model that is not loaded with status 404")
    private boolean loadedModelsOnly;

    @Option(
            names = "--role",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_ROLE:-mixed}",
            description = "role at the start (default: ${DEFAULT-VALUE})")
    private String role;

    @Option(
            names = "--slots",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_SLOTS:-8}",
            description = "maximum number of requests that run concurrently (default: ${DEFAULT-VALUE})")
    private int slots;

    @Option(
            names = "--waiting-limit",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_WAITING_LIMIT:-256}",
            description =
                    "maximum number of requests that wait for a slot; further ones get status 503 (default: ${DEFAULT-VALUE})")
    private int waitingLimit;

    @Option(
            names = "--prefill-tokens-per-second",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_PREFILL_TOKENS_PER_SECOND:-10000}",
            description = "prefill rate for prompt tokens outside the cache (default: ${DEFAULT-VALUE})")
    private int prefillTokensPerSecond;

    @Option(
            names = "--prefill-chunk-tokens",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_PREFILL_CHUNK_TOKENS:-512}",
            description = "number of prompt tokens processed in one step, at most (default: ${DEFAULT-VALUE})")
    private int prefillChunkTokens;

    @Option(
            names = "--step-micros",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_STEP_MICROS:-12000}",
            description = "microseconds between the tokens of a stream that runs alone (default: ${DEFAULT-VALUE})")
    private long stepMicros;

    @Option(
            names = "--step-micros-per-stream",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_STEP_MICROS_PER_STREAM:-500}",
            description = "microseconds that each running stream adds to a step (default: ${DEFAULT-VALUE})")
    private long stepMicrosPerStream;

    @Option(
            names = "--cache-tokens",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_CACHE_TOKENS:-200000}",
            description = "size of the prefix cache in tokens (default: ${DEFAULT-VALUE})")
    private int cacheTokens;

    @Option(
            names = "--cache-event-lag-millis",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_CACHE_EVENT_LAG_MILLIS:-500}",
            description = "time in milliseconds until a cache event is visible (default: ${DEFAULT-VALUE})")
    private long cacheEventLagMillis;

    @Option(
            names = "--lost-cache-event-every",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_LOST_CACHE_EVENT_EVERY:-20}",
            description = "one in this many cache events is lost; 0: none (default: ${DEFAULT-VALUE})")
    private int lostCacheEventEvery;

    @Option(
            names = "--transfer-tokens-per-second",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_TRANSFER_TOKENS_PER_SECOND:-100000}",
            description = "rate of cache export and import (default: ${DEFAULT-VALUE})")
    private int transferTokensPerSecond;

    @Option(
            names = "--fencing",
            negatable = true,
            defaultValue = "${env:QUETZALSHUNT_STANDIN_FENCING:-true}",
            fallbackValue = "true",
            description = "refuse orders with an outdated fencing token (default: ${DEFAULT-VALUE})")
    private boolean fencing;

    @Option(
            names = "--order-millis",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_ORDER_MILLIS:-2000}",
            description = "time in milliseconds that an order takes (default: ${DEFAULT-VALUE})")
    private long orderMillis;

    @Option(
            names = "--order-fails-every",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_ORDER_FAILS_EVERY:-0}",
            description = "one in this many orders fails; 0: none (default: ${DEFAULT-VALUE})")
    private int orderFailsEvery;

    @Option(
            names = "--load-lag-millis",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_LOAD_LAG_MILLIS:-300}",
            description = "age of the load report in milliseconds (default: ${DEFAULT-VALUE})")
    private long loadLagMillis;

    @Option(
            names = "--resume-millis",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_RESUME_MILLIS:-10000}",
            description = "time in milliseconds for which a request can be resumed (default: ${DEFAULT-VALUE})")
    private long resumeMillis;

    @Override
    public Integer call() {
        check();
        EngineSettings settings = settings();
        Runnable halt = () -> Runtime.getRuntime().halt(HALT_EXIT_CODE);
        return listen.serve((group, address) ->
                EngineStandin.start(group, address, settings, halt).port());
    }

    private EngineSettings settings() {
        return new EngineSettings(
                models.stream().map(ModelVersion::parse).toList(),
                !loadedModelsOnly,
                role,
                new BatchSettings(
                        slots,
                        waitingLimit,
                        prefillTokensPerSecond,
                        prefillChunkTokens,
                        stepMicros,
                        stepMicrosPerStream),
                new CacheSettings(cacheTokens, cacheEventLagMillis, lostCacheEventEvery, transferTokensPerSecond),
                new OrderSettings(fencing, orderMillis, orderFailsEvery),
                loadLagMillis,
                resumeMillis);
    }

    private void check() {
        SettingCheck.of(command)
                .atLeast("--slots", slots, 1)
                .atLeast("--waiting-limit", waitingLimit, 0)
                .atLeast("--prefill-tokens-per-second", prefillTokensPerSecond, 1)
                .atLeast("--prefill-chunk-tokens", prefillChunkTokens, 1)
                .atLeast("--step-micros", stepMicros, 1)
                .atLeast("--step-micros-per-stream", stepMicrosPerStream, 0)
                .atLeast("--cache-tokens", cacheTokens, 0)
                .atLeast("--cache-event-lag-millis", cacheEventLagMillis, 0)
                .atLeast("--lost-cache-event-every", lostCacheEventEvery, 0)
                .atLeast("--transfer-tokens-per-second", transferTokensPerSecond, 1)
                .atLeast("--order-millis", orderMillis, 0)
                .atLeast("--order-fails-every", orderFailsEvery, 0)
                .atLeast("--load-lag-millis", loadLagMillis, 0)
                .atLeast("--resume-millis", resumeMillis, 0);
    }
}
