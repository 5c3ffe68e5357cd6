package org.quetzalshunt.server.gateway;

import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/** What a gateway counts, in Prometheus' format. Labels are kinds of requests and numbered codes, both bounded. */
final class GatewayMetrics {
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    private final Map<String, Map<Integer, Timer>> requests = new HashMap<>();

    /** A request got its final answer. */
    void ended(String kind, int code, long tookMillis) {
        requests.computeIfAbsent(kind, ignored -> new HashMap<>())
                .computeIfAbsent(code, ignored -> requestTimer(kind, code))
                .record(tookMillis, TimeUnit.MILLISECONDS);
    }

    private Timer requestTimer(String kind, int code) {
        return Timer.builder("quetzalshunt.request")
                .description("from arrival to the final answer, by kind of request and result code")
                .tag("kind", kind)
                .tag("code", Integer.toString(code))
                .publishPercentileHistogram()
                .minimumExpectedValue(Duration.ofMillis(1))
                .maximumExpectedValue(Duration.ofSeconds(30))
                .register(registry);
    }

    /** The first event of a stream left for the caller. */
    void firstEvent(long tookMillis) {
        registry.timer("quetzalshunt.first.event").record(tookMillis, TimeUnit.MILLISECONDS);
    }

    /** An attempt at an endpoint ended. */
    void attempt(String outcome) {
        registry.counter("quetzalshunt.attempts", "outcome", outcome).increment();
    }

    void gauge(String name, String description, Supplier<Number> value) {
        Gauge.builder(name, value).description(description).register(registry);
    }

    String scrape() {
        return registry.scrape();
    }
}
