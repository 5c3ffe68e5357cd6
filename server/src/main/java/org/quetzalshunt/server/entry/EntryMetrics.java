package org.quetzalshunt.server.entry;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.function.Supplier;
import org.quetzalshunt.core.program.TokenUsage;
import org.quetzalshunt.core.program.TurnStart;
import org.quetzalshunt.core.result.Refusal;

/**
 * Metrics of an entry in the Prometheus format. The label values are result codes and accounts from service documents,
 * so their number is bounded.
 */
final class EntryMetrics {
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final Timer turnLatency = Timer.builder("quetzalshunt.turn.latency")
            .description("from arrival to the durable end of a turn")
            .publishPercentiles(0.5, 0.95, 0.99)
            .register(registry);
    private final Timer firstTokenLatency = Timer.builder("quetzalshunt.first.token")
            .description("from arrival to the first token")
            .publishPercentiles(0.5, 0.95, 0.99)
            .register(registry);
    private final Counter recomputedTokens = Counter.builder("quetzalshunt.prompt.tokens.recomputed")
            .description("tokens of a program's history that an engine computed again")
            .register(registry);
    private final Counter completionTokens = Counter.builder("quetzalshunt.completion.tokens")
            .description("tokens generated")
            .register(registry);

    void recordTurn(TurnStart start, TokenUsage usage, long latencyMillis) {
        turnLatency.record(Duration.ofMillis(latencyMillis));
        completionTokens.increment((double) usage.completionTokens());
        recomputedTokens.increment((double) Math.max(0, start.contextTokens() - usage.cachedTokens()));
    }

    void recordFirstToken(long millis) {
        firstTokenLatency.record(Duration.ofMillis(millis));
    }

    void countRefusal(String clientAccount, Refusal refusal) {
        registry.counter(
                        "quetzalshunt.refusals",
                        "account",
                        clientAccount,
                        "code",
                        Integer.toString(refusal.code().number()))
                .increment();
    }

    void gauge(String name, Supplier<Number> value) {
        Gauge.builder(name, value).register(registry);
    }

    String scrape() {
        return registry.scrape();
    }
}
