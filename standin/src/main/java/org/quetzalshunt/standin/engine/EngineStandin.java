package org.quetzalshunt.standin.engine;

import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.standin.control.Fault;
import org.quetzalshunt.standin.control.FaultInjector;
import org.quetzalshunt.standin.control.FaultKind;
import org.quetzalshunt.standin.control.RunLog;
import org.quetzalshunt.standin.control.StandinServer;

/**
 * Server that stands in for a model engine. Models its use of time and memory, and answers with {@link StandinAnswer}.
 */
public final class EngineStandin {
    private static final Set<FaultKind> SUPPORTED = EnumSet.of(
            FaultKind.CRASH,
            FaultKind.EXIT,
            FaultKind.HANG,
            FaultKind.SLOW,
            FaultKind.CUT,
            FaultKind.REFUSE,
            FaultKind.POISON);
    private static final String COMPLETIONS = "/v1/chat/completions";
    private static final long EXIT_DELAY_MILLIS = 20;
    private static final LongSupplier CLOCK_MILLIS = System::currentTimeMillis;

    private final EventLoop loop;
    private final EngineSettings settings;
    private final FaultInjector faults = FaultInjector.create(SUPPORTED, CLOCK_MILLIS, this::onFaultActivated);
    private final RunLog runs = RunLog.create(CLOCK_MILLIS);
    private final CacheEvents cacheEvents;
    private final PrefixCache cache;
    private final CacheHandler cacheCalls;
    private final OrderHandler orders;
    private final Batch batch;
    private final ChatHandler chat;
    private final LoadReports load;
    private Runnable halt = this::close;
    private StandinServer server;

    private EngineStandin(EventLoop loop, EngineSettings settings) {
        this.loop = loop;
        this.settings = settings;
        this.cacheEvents = CacheEvents.create(settings.cache(), CLOCK_MILLIS);
        this.cache = PrefixCache.create(settings.cache().capacityTokens(), cacheEvents);
        this.cacheCalls = CacheHandler.create(loop, settings.cache(), cache);
        this.orders = OrderHandler.create(loop, settings);
        this.batch = Batch.create(
                loop,
                settings.batch(),
                CLOCK_MILLIS,
                new BatchHooks(this::slowMillis, this::cachedTokens, this::onRunFinished, this::recordLoad));
        this.chat = ChatHandler.create(loop, settings, faults, runs, batch, orders);
        this.load = LoadReports.create(settings.loadLagMillis(), CLOCK_MILLIS, this::addLoadFigures);
        this.load.addSnapshot(0);
    }

    /**
     * Binds the address and starts to serve. A fault that would halt the process closes the server instead. Must not be
     * called on an event loop of the group.
     */
    public static EngineStandin start(EventLoopGroup group, InetSocketAddress address, EngineSettings settings) {
        EventLoop loop = group.next();
        EngineStandin engine = new EngineStandin(loop, settings);
        engine.server = StandinServer.start(loop, address, engine.faults, engine.runs, engine::handle);
        return engine;
    }

    /**
     * Like {@link #start(EventLoopGroup, InetSocketAddress, EngineSettings)}, with {@code halt} as the action of the
     * faults that halt the process.
     */
    public static EngineStandin start(
            EventLoopGroup group, InetSocketAddress address, EngineSettings settings, Runnable halt) {
        EngineStandin engine = start(group, address, settings);
        engine.halt = halt;
        return engine;
    }

    /** Port that the server is bound to. */
    public int port() {
        return server.port();
    }

    /** Stops the server. Its runs and cache are not persisted. */
    public void close() {
        server.close();
    }

    /** Activates a fault. It applies to every request handled after this method returns. */
    public void set(Fault fault) {
        server.set(fault);
    }

    /** Deactivates all faults. */
    public void clearFaults() {
        server.clearFaults();
    }

    private void handle(HttpExchange exchange) {
        boolean countable = exchange.path().equals(COMPLETIONS);
        if (faults.isActive(FaultKind.CRASH)) {
            exchange.abort();
        } else if (faults.trigger(FaultKind.EXIT, countable).isPresent()) {
            halt.run();
        } else if (faults.trigger(FaultKind.REFUSE, countable).isPresent()) {
            StandinServer.error(exchange, 503, "refused");
        } else if (faults.trigger(FaultKind.HANG, countable).isEmpty()) {
            route(exchange);
            recordLoad();
        }
    }

    private void route(HttpExchange exchange) {
        String path = exchange.path();
        String call = exchange.method() + " " + path;
        if (call.equals("POST " + COMPLETIONS)) {
            complete(exchange);
        } else if (call.startsWith("GET /engine/requests/")) {
            chat.resume(exchange);
        } else if (call.startsWith("DELETE /engine/requests/")) {
            chat.cancel(exchange);
        } else if (call.equals("GET /engine/load")) {
            StandinServer.json(exchange, 200, load.toJson());
        } else if (call.equals("GET /engine/cache")) {
            StandinServer.json(exchange, 200, cache.toJson());
        } else if (call.equals("GET /engine/cache/events")) {
            listCacheEvents(exchange);
        } else if (path.startsWith(CacheHandler.PREFIX)) {
            cacheCalls.handle(exchange);
        } else if (call.equals("POST /engine/orders")) {
            orders.accept(exchange);
        } else if (call.startsWith("GET /engine/orders/")) {
            orders.sendState(exchange);
        } else {
            StandinServer.error(exchange, 404, "no such call");
        }
    }

    private void complete(HttpExchange exchange) {
        Optional<ChatRequest> request = ChatRequest.parse(exchange);
        if (request.isEmpty()) {
            StandinServer.error(exchange, 400, "messages must be a non-empty array");
            return;
        }
        Optional<Fault> poison = faults.active(FaultKind.POISON);
        if (poison.isPresent() && request.get().contains(poison.get().text())) {
            runs.start(exchange);
            halt.run();
            return;
        }
        chat.complete(exchange, request.get());
    }

    private void listCacheEvents(HttpExchange exchange) {
        try {
            long from = exchange.query("from").map(Long::parseLong).orElse(0L);
            StandinServer.json(exchange, 200, cacheEvents.toJson(from));
        } catch (NumberFormatException malformed) {
            StandinServer.error(exchange, 422, "from must be a whole number");
        }
    }

    /** Discards the state on a crash. For an exit without a count, halts after a delay for the response to be sent. */
    private void onFaultActivated(Fault fault) {
        if (fault.kind() == FaultKind.CRASH) {
            discardState();
        }
        if (fault.kind() == FaultKind.EXIT && fault.count() == 0) {
            loop.schedule(halt, EXIT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void discardState() {
        batch.abortAll();
        chat.clear();
        orders.failRunning();
        cache.clear();
    }

    private long slowMillis() {
        return faults.active(FaultKind.SLOW)
                .filter(fault -> fault.count() == 0)
                .map(Fault::millis)
                .orElse(0L);
    }

    private int cachedTokens(EngineRun run) {
        return cache.match(Prefix.of(run.request().messages()));
    }

    private void onRunFinished(EngineRun run) {
        Prefix whole =
                Prefix.of(run.request().messages()).withAnswer(run.answer().text());
        run.request().cacheKey().ifPresentOrElse(key -> cache.store(key, whole, true), () -> cache.storeUnnamed(whole));
        chat.retainForResume(run);
    }

    private void recordLoad() {
        load.addSnapshot(batch.wordsEmitted());
    }

    private ObjectNode addLoadFigures(ObjectNode figures) {
        figures.put("running", batch.runningCount())
                .put("waiting", batch.waitingCount())
                .put("slots", settings.batch().slots())
                .put("cachedTokens", cache.usedTokens())
                .put("cacheCapacityTokens", settings.cache().capacityTokens());
        figures.set("models", orders.modelsJson());
        return figures.put("role", orders.role());
    }
}
