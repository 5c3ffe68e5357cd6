package org.quetzalshunt.standin.platform;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.standin.control.FaultKind;
import org.quetzalshunt.standin.control.FaultSwitches;
import org.quetzalshunt.standin.control.RateBucket;
import org.quetzalshunt.standin.control.StandinServer;
import org.quetzalshunt.wire.json.Json;

/** The log service's calls. */
final class LogService {
    static final String PREFIX = "/log/";
    private static final int MAXIMUM_RECORD_BYTES = 1024 * 1024;
    private static final long DEFAULT_READ_BYTES = 4L * 1024 * 1024;
    private static final long MAXIMUM_WAIT_MILLIS = 60_000;
    private static final int BURST_FRACTION_OF_SECOND = 4;

    private final EventLoop loop;
    private final PlatformSettings settings;
    private final FaultSwitches faults;
    private final LongSupplier clockMillis;
    private final SlowAnswers answers;
    private final RateBucket appends;
    private final Map<String, LogStream> streams = new HashMap<>();

    private LogService(
            EventLoop loop,
            PlatformSettings settings,
            FaultSwitches faults,
            LongSupplier clockMillis,
            SlowAnswers answers) {
        this.loop = loop;
        this.settings = settings;
        this.faults = faults;
        this.clockMillis = clockMillis;
        this.answers = answers;
        int burst = Math.max(1, settings.appendsPerSecond() / BURST_FRACTION_OF_SECOND);
        this.appends = RateBucket.full(settings.appendsPerSecond(), burst, clockMillis.getAsLong());
    }

    static LogService create(
            EventLoop loop,
            PlatformSettings settings,
            FaultSwitches faults,
            LongSupplier clockMillis,
            SlowAnswers answers) {
        return new LogService(loop, settings, faults, clockMillis, answers);
    }

    void handle(HttpExchange exchange) {
        String name = exchange.path().substring(PREFIX.length());
        if (name.isEmpty() || name.contains("/")) {
            StandinServer.error(exchange, 404, "a stream has a name without slashes");
            return;
        }
        if (faults.on(FaultKind.OUTAGE)) {
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
        if (faults.hit(FaultKind.REFUSE).isPresent()) {
            StandinServer.error(exchange, 503, "refused");
            return;
        }
        byte[] data = exchange.body();
        if (data.length > MAXIMUM_RECORD_BYTES) {
            StandinServer.error(exchange, 413, "a record has at most " + MAXIMUM_RECORD_BYTES + " octets");
            return;
        }
        long now = clockMillis.getAsLong();
        if (!appends.take(now)) {
            exchange.respond(429, Map.of("retry-after", "1"), StandinServer.errorBody("over the cap on appends"));
            return;
        }
        LogStream stream = streams.computeIfAbsent(name, ignored -> LogStream.create());
        long offset = stream.append(data, now);
        if (faults.hit(FaultKind.LOST_ANSWER).isPresent()) {
            exchange.abort();
        } else {
            answers.json(exchange, Json.bytes(Json.object().put("offset", offset)));
        }
        stream.wakeReaders();
    }

    private void read(HttpExchange exchange, String name) {
        Optional<Long> from = number(exchange, "from", 0);
        Optional<Long> maximumBytes = number(exchange, "maximumBytes", DEFAULT_READ_BYTES);
        Optional<Long> waitMillis = number(exchange, "waitMillis", 0);
        if (from.isEmpty() || maximumBytes.isEmpty() || waitMillis.isEmpty()) {
            StandinServer.error(exchange, 422, "from, maximumBytes and waitMillis are numbers from 0");
            return;
        }
        LogStream stream = streams.computeIfAbsent(name, ignored -> LogStream.create());
        if (stream.next() > from.get() || waitMillis.get() == 0) {
            answer(exchange, stream, from.get(), maximumBytes.get());
            return;
        }
        awaitAppend(exchange, stream, from.get(), maximumBytes.get(), waitMillis.get());
    }

    private void awaitAppend(HttpExchange exchange, LogStream stream, long from, long maximumBytes, long waitMillis) {
        Runnable reader = () -> {
            if (!exchange.finished()) {
                answer(exchange, stream, from, maximumBytes);
            }
        };
        stream.await(reader);
        var timeout = loop.schedule(
                () -> {
                    stream.forget(reader);
                    reader.run();
                },
                Math.min(waitMillis, MAXIMUM_WAIT_MILLIS),
                TimeUnit.MILLISECONDS);
        exchange.onClose(() -> {
            timeout.cancel(false);
            stream.forget(reader);
        });
    }

    private void answer(HttpExchange exchange, LogStream stream, long from, long maximumBytes) {
        if (faults.on(FaultKind.OUTAGE)) {
            StandinServer.error(exchange, 503, "outage");
            return;
        }
        stream.dropOlderThan(clockMillis.getAsLong() - settings.retentionMillis());
        answers.json(exchange, stream.read(from, maximumBytes));
    }

    private static Optional<Long> number(HttpExchange exchange, String name, long byDefault) {
        Optional<String> text = exchange.query(name);
        if (text.isEmpty()) {
            return Optional.of(byDefault);
        }
        try {
            return Optional.of(Long.parseLong(text.get())).filter(value -> value >= 0);
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }
}
