package org.quetzalshunt.standin.platform;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.standin.control.FaultInjector;
import org.quetzalshunt.standin.control.FaultKind;
import org.quetzalshunt.standin.control.RateBucket;
import org.quetzalshunt.standin.control.StandinServer;
import org.quetzalshunt.wire.json.Json;

/** HTTP calls of the log service: appends, and reads that wait for new records. */
final class LogService {
    static final String PREFIX = "/log/";
    private static final int MAXIMUM_RECORD_BYTES = 1024 * 1024;
    private static final long DEFAULT_READ_BYTES = 4L * 1024 * 1024;
    private static final long MAXIMUM_WAIT_MILLIS = 60_000;
    private static final int BURST_DIVISOR = 4;

    private final EventLoop loop;
    private final PlatformSettings settings;
    private final FaultInjector faults;
    private final LongSupplier clockMillis;
    private final ResponseSender responses;
    private final RateBucket appendLimiter;
    private final Map<String, LogStream> streams = new HashMap<>();

    private LogService(
            EventLoop loop,
            PlatformSettings settings,
            FaultInjector faults,
            LongSupplier clockMillis,
            ResponseSender responses) {
        this.loop = loop;
        this.settings = settings;
        this.faults = faults;
        this.clockMillis = clockMillis;
        this.responses = responses;
        int burst = Math.max(1, settings.appendsPerSecond() / BURST_DIVISOR);
        this.appendLimiter = RateBucket.full(settings.appendsPerSecond(), burst, clockMillis.getAsLong());
    }

    static LogService create(
            EventLoop loop,
            PlatformSettings settings,
            FaultInjector faults,
            LongSupplier clockMillis,
            ResponseSender responses) {
        return new LogService(loop, settings, faults, clockMillis, responses);
    }

    void handle(HttpExchange exchange) {
        String name = exchange.path().substring(PREFIX.length());
        if (name.isEmpty() || name.contains("/")) {
            StandinServer.error(exchange, 404, "expected a stream name without slashes");
            return;
        }
        if (faults.isActive(FaultKind.OUTAGE)) {
            StandinServer.error(exchange, 503, "outage");
            return;
        }
        switch (exchange.method()) {
            case "POST" -> append(exchange, name);
            case "GET" -> read(exchange, name);
            default -> StandinServer.error(exchange, 405, "use GET or POST");
        }
    }

    private void append(HttpExchange exchange, String name) {
        if (faults.trigger(FaultKind.REFUSE).isPresent()) {
            StandinServer.error(exchange, 503, "refused");
            return;
        }
        byte[] data = exchange.body();
        if (data.length > MAXIMUM_RECORD_BYTES) {
            StandinServer.error(
                    exchange, 413, "record too large: at most " + MAXIMUM_RECORD_BYTES + " octets are allowed");
            return;
        }
        long now = clockMillis.getAsLong();
        if (!appendLimiter.take(now)) {
            exchange.respond(
                    429, Map.of("retry-after", "1"), StandinServer.errorBody("limit on appends per second exceeded"));
            return;
        }
        LogStream stream = streams.computeIfAbsent(name, ignored -> LogStream.create());
        long offset = stream.append(data, now);
        if (faults.trigger(FaultKind.LOST_ANSWER).isPresent()) {
            exchange.abort();
        } else {
            responses.json(exchange, Json.bytes(Json.object().put("offset", offset)));
        }
        stream.wakeReaders();
    }

    private void read(HttpExchange exchange, String name) {
        Optional<Long> from = parseNumber(exchange, "from", 0);
        Optional<Long> maximumBytes = parseNumber(exchange, "maximumBytes", DEFAULT_READ_BYTES);
        Optional<Long> waitMillis = parseNumber(exchange, "waitMillis", 0);
        if (from.isEmpty() || maximumBytes.isEmpty() || waitMillis.isEmpty()) {
            StandinServer.error(exchange, 422, "from, maximumBytes and waitMillis must be whole numbers of at least 0");
            return;
        }
        LogStream stream = streams.computeIfAbsent(name, ignored -> LogStream.create());
        if (stream.nextOffset() > from.get() || waitMillis.get() == 0) {
            respond(exchange, stream, from.get(), maximumBytes.get());
            return;
        }
        awaitAppend(exchange, stream, from.get(), maximumBytes.get(), waitMillis.get());
    }

    private void awaitAppend(HttpExchange exchange, LogStream stream, long from, long maximumBytes, long waitMillis) {
        Runnable reader = () -> {
            if (!exchange.finished()) {
                respond(exchange, stream, from, maximumBytes);
            }
        };
        stream.addWaitingReader(reader);
        var timeout = loop.schedule(
                () -> {
                    stream.removeWaitingReader(reader);
                    reader.run();
                },
                Math.min(waitMillis, MAXIMUM_WAIT_MILLIS),
                TimeUnit.MILLISECONDS);
        exchange.onClose(() -> {
            timeout.cancel(false);
            stream.removeWaitingReader(reader);
        });
    }

    private void respond(HttpExchange exchange, LogStream stream, long from, long maximumBytes) {
        if (faults.isActive(FaultKind.OUTAGE)) {
            StandinServer.error(exchange, 503, "outage");
            return;
        }
        stream.dropOlderThan(clockMillis.getAsLong() - settings.retentionMillis());
        responses.json(exchange, stream.read(from, maximumBytes));
    }

    private static Optional<Long> parseNumber(HttpExchange exchange, String name, long defaultValue) {
        Optional<String> text = exchange.query(name);
        if (text.isEmpty()) {
            return Optional.of(defaultValue);
        }
        try {
            return Optional.of(Long.parseLong(text.get())).filter(value -> value >= 0);
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }
}
