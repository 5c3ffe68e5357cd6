package org.quetzalshunt.standin.engine;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.standin.control.Fault;
import org.quetzalshunt.standin.control.FaultKind;
import org.quetzalshunt.standin.control.FaultSwitches;
import org.quetzalshunt.standin.control.Run;
import org.quetzalshunt.standin.control.RunBook;
import org.quetzalshunt.standin.control.RunState;
import org.quetzalshunt.standin.control.StandinServer;

/** Chat completions with resume and cancel. */
final class ChatCalls {
    private static final String PREFIX = "/engine/requests/";
    private static final long MILLIS_PER_SECOND = 1_000;

    private final EventLoop loop;
    private final EngineSettings settings;
    private final FaultSwitches faults;
    private final RunBook runs;
    private final Batch batch;
    private final OrderDesk orders;
    private final Map<String, EngineRun> known = new HashMap<>();

    private ChatCalls(
            EventLoop loop,
            EngineSettings settings,
            FaultSwitches faults,
            RunBook runs,
            Batch batch,
            OrderDesk orders) {
        this.loop = loop;
        this.settings = settings;
        this.faults = faults;
        this.runs = runs;
        this.batch = batch;
        this.orders = orders;
    }

    static ChatCalls create(
            EventLoop loop,
            EngineSettings settings,
            FaultSwitches faults,
            RunBook runs,
            Batch batch,
            OrderDesk orders) {
        return new ChatCalls(loop, settings, faults, runs, batch, orders);
    }

    void complete(HttpExchange exchange, ChatRequest request) {
        if (!settings.anyModel() && !orders.serves(request.model())) {
            StandinServer.error(exchange, 404, "the model is not loaded");
            return;
        }
        if (batch.full()) {
            StandinServer.error(exchange, 503, "too many requests wait");
            return;
        }
        Run record = runs.start(exchange);
        EngineRun run = create(request, record);
        boolean resumable = exchange.header("X-Request-Id").isPresent();
        Runnable whenGone = resumable ? () -> awaitResume(run) : () -> batch.cancel(run, RunState.CANCELLED);
        if (request.stream()) {
            run.stream(exchange, 0, whenGone);
        } else {
            run.answerWhole(exchange, whenGone);
        }
        if (resumable) {
            known.put(record.id(), run);
        }
        batch.submit(run);
    }

    void resume(HttpExchange exchange) {
        EngineRun run = known.get(id(exchange));
        Optional<Integer> from = from(exchange);
        if (run == null || from.isEmpty()) {
            StandinServer.error(exchange, run == null ? 404 : 422, "no such request, or from is not a number");
            return;
        }
        run.stream(exchange, from.get(), () -> awaitResume(run));
    }

    void cancel(HttpExchange exchange) {
        EngineRun run = known.remove(id(exchange));
        if (run != null) {
            batch.cancel(run, RunState.CANCELLED);
        }
        exchange.respond(204, Map.of(), new byte[0]);
    }

    /** Keeps a finished run for those whose connection broke before its end reached them. */
    void finished(EngineRun run) {
        loop.schedule(() -> forget(run), settings.resumeMillis(), TimeUnit.MILLISECONDS);
    }

    void forgetAll() {
        known.clear();
    }

    private EngineRun create(ChatRequest request, Run record) {
        ChatBodies bodies = ChatBodies.of(record.id(), request.model(), System.currentTimeMillis() / MILLIS_PER_SECOND);
        long slowMillis = faults.hit(FaultKind.SLOW).map(Fault::millis).orElse(0L);
        EngineRun run = EngineRun.create(request, record, bodies, slowMillis);
        if (faults.hit(FaultKind.CUT).isPresent()) {
            run.cutHalfway();
        }
        return run;
    }

    private void awaitResume(EngineRun run) {
        loop.schedule(() -> cancelIfAbandoned(run), settings.resumeMillis(), TimeUnit.MILLISECONDS);
    }

    private void cancelIfAbandoned(EngineRun run) {
        if (run.ended() || run.hasReaders()) {
            return;
        }
        batch.cancel(run, RunState.CANCELLED);
        forget(run);
    }

    private void forget(EngineRun run) {
        known.remove(run.record().id(), run);
    }

    private static String id(HttpExchange exchange) {
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
