package org.quetzalshunt.standin.engine;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.standin.control.Fault;
import org.quetzalshunt.standin.control.FaultInjector;
import org.quetzalshunt.standin.control.FaultKind;
import org.quetzalshunt.standin.control.Run;
import org.quetzalshunt.standin.control.RunLog;
import org.quetzalshunt.standin.control.RunState;
import org.quetzalshunt.standin.control.StandinServer;

/** HTTP calls for chat completions, and for the resume and cancel of a completion by its request id. */
final class ChatHandler {
    private static final String PREFIX = "/engine/requests/";
    private static final long MILLIS_PER_SECOND = 1_000;

    private final EventLoop loop;
    private final EngineSettings settings;
    private final FaultInjector faults;
    private final RunLog runs;
    private final Batch batch;
    private final OrderHandler orders;
    private final Map<String, EngineRun> resumableRuns = new HashMap<>();

    private ChatHandler(
            EventLoop loop,
            EngineSettings settings,
            FaultInjector faults,
            RunLog runs,
            Batch batch,
            OrderHandler orders) {
        this.loop = loop;
        this.settings = settings;
        this.faults = faults;
        this.runs = runs;
        this.batch = batch;
        this.orders = orders;
    }

    static ChatHandler create(
            EventLoop loop,
            EngineSettings settings,
            FaultInjector faults,
            RunLog runs,
            Batch batch,
            OrderHandler orders) {
        return new ChatHandler(loop, settings, faults, runs, batch, orders);
    }

    void complete(HttpExchange exchange, ChatRequest request) {
        if (!settings.anyModel() && !orders.serves(request.model())) {
            StandinServer.error(exchange, 404, "the model is not loaded");
            return;
        }
        if (batch.isFull()) {
            StandinServer.error(exchange, 503, "too many waiting requests");
            return;
        }
        Run record = runs.start(exchange);
        EngineRun run = create(request, record);
        boolean resumable = exchange.header("X-Request-Id").isPresent();
        Runnable onDisconnect =
                resumable ? () -> cancelUnlessResumed(run) : () -> batch.cancel(run, RunState.CANCELLED);
        if (request.stream()) {
            run.stream(exchange, 0, onDisconnect);
        } else {
            run.sendCompletion(exchange, onDisconnect);
        }
        if (resumable) {
            resumableRuns.put(record.id(), run);
        }
        batch.submit(run);
    }

    void resume(HttpExchange exchange) {
        EngineRun run = resumableRuns.get(requestId(exchange));
        Optional<Integer> from = from(exchange);
        if (run == null || from.isEmpty()) {
            StandinServer.error(
                    exchange, run == null ? 404 : 422, "no such request, or from is not a number of at least 0");
            return;
        }
        run.stream(exchange, from.get(), () -> cancelUnlessResumed(run));
    }

    void cancel(HttpExchange exchange) {
        EngineRun run = resumableRuns.remove(requestId(exchange));
        if (run != null) {
            batch.cancel(run, RunState.CANCELLED);
        }
        exchange.respond(204, Map.of(), new byte[0]);
    }

    /**
     * Keeps a finished run for the resume period, for readers whose connection was closed before the end of the
     * answer.
     */
    void retainForResume(EngineRun run) {
        loop.schedule(() -> remove(run), settings.resumeMillis(), TimeUnit.MILLISECONDS);
    }

    void clear() {
        resumableRuns.clear();
    }

    private EngineRun create(ChatRequest request, Run record) {
        ChatBodies bodies = ChatBodies.of(record.id(), request.model(), System.currentTimeMillis() / MILLIS_PER_SECOND);
        long slowMillis = faults.trigger(FaultKind.SLOW).map(Fault::millis).orElse(0L);
        EngineRun run = EngineRun.create(request, record, bodies, slowMillis);
        if (faults.trigger(FaultKind.CUT).isPresent()) {
            run.cutHalfway();
        }
        return run;
    }

    private void cancelUnlessResumed(EngineRun run) {
        loop.schedule(() -> cancelIfAbandoned(run), settings.resumeMillis(), TimeUnit.MILLISECONDS);
    }

    private void cancelIfAbandoned(EngineRun run) {
        if (run.ended() || run.hasReaders()) {
            return;
        }
        batch.cancel(run, RunState.CANCELLED);
        remove(run);
    }

    private void remove(EngineRun run) {
        resumableRuns.remove(run.record().id(), run);
    }

    private static String requestId(HttpExchange exchange) {
        return exchange.path().substring(PREFIX.length());
    }

    private static Optional<Integer> from(HttpExchange exchange) {
        try {
            return Optional.of(exchange.query("from").map(Integer::parseInt).orElse(0))
                    .filter(value -> value >= 0);
        } catch (NumberFormatException malformed) {
            return Optional.empty();
        }
    }
}
