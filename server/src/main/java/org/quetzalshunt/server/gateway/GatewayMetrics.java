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

/**
 * Metrics of a gateway in the Prometheus format. All labels have a bounded number of values: request kinds, result
 * codes, attempt outcomes, outcomes of starts, and services with
 * their urgencies.
 */
final class GatewayMetrics {
    private final PrometheusMeterRegistry registry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

    private final Map<String, Map<Integer, Timer>> requests = new HashMap<>();

    /** Records the time from the arrival of a request to its final response. */
    void recordRequest(String kind, int code, long tookMillis) {
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

    /** Records the time from the arrival of a request to the first event sent to the caller. */
    void recordFirstEvent(long tookMillis) {
        registry.timer("quetzalshunt.first.event").record(tookMillis, TimeUnit.MILLISECONDS);
    }

    /** Counts an attempt at an endpoint that has ended. */
    void countAttempt(String outcome) {
        registry.counter("quetzalshunt.attempts", "outcome", outcome).increment();
    }

    /** Counts a first turn of a program that asked for a slot, by what became of it. */
    void countStart(String outcome) {
        registry.counter("quetzalshunt.dispatch.starts", "outcome", outcome).increment();
    }

    /** Records how long a first turn waited for a slot before it was sent. */
    void recordSlotWait(long millis) {
        registry.timer("quetzalshunt.dispatch.wait").record(millis, TimeUnit.MILLISECONDS);
    }

    /** Registers a gauge for a service and an urgency. */
    void registerGauge(String name, String description, String service, int urgency, Supplier<Number> value) {
        Gauge.builder(name, value)
                .description(description)
                .tag("service", service)
                .tag("urgency", Integer.toString(urgency))
                .register(registry);
    }

    /** Counts bytes that are sent between data centres, by reason: prompts, answers or peers. */
    void countRemoteBytes(String reason, int bytes) {
        registry.counter("quetzalshunt.remote.bytes", "reason", reason).increment(bytes);
    }

    /** Counts records of turns that were stored or removed, and ancestors of turns that were not found. */
    void countTurnRecord(String event) {
        registry.counter("quetzalshunt.turn.records", "event", event).increment();
    }

    /** Counts a request sent to an endpoint, by the data centre of the endpoint: local or remote. */
    void countSelection(String place) {
        registry.counter("quetzalshunt.selections", "place", place).increment();
    }

    void registerGauge(String name, String description, Supplier<Number> value) {
        Gauge.builder(name, value).description(description).register(registry);
    }

    /** Registers a gauge with one label, whose number of values must be bounded. */
    void registerGauge(String name, String description, String label, String value, Supplier<Number> supplier) {
        Gauge.builder(name, supplier).description(description).tag(label, value).register(registry);
    }

    /** Counts an event by a label with a bounded number of values. */
    void count(String name, String label, String labelValue) {
        registry.counter(name, label, labelValue).increment();
    }

    String scrape() {
        return registry.scrape();
    }
}
