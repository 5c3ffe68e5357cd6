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
import org.quetzalshunt.standin.control.FaultKind;
import org.quetzalshunt.standin.control.FaultSwitches;
import org.quetzalshunt.standin.control.RunBook;
import org.quetzalshunt.standin.control.StandinServer;

/** A model engine, honest in what takes time and memory, that answers by {@link StandinAnswer}. */
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
    private final FaultSwitches faults = FaultSwitches.create(SUPPORTED, CLOCK_MILLIS, this::faultSet);
    private final RunBook runs = RunBook.create(CLOCK_MILLIS);
    private final CacheEvents cacheEvents;
    private final PrefixCache cache;
    private final CacheCalls cacheCalls;
    private final OrderDesk orders;
    private final Batch batch;
    private final ChatCalls chat;
    private final LoadReports load;
    private Runnable halt = this::close;
    private StandinServer server;

    private EngineStandin(EventLoop loop, EngineSettings settings) {
        this.loop = loop;
        this.settings = settings;
        this.cacheEvents = CacheEvents.create(settings.cache(), CLOCK_MILLIS);
        this.cache = PrefixCache.create(settings.cache().capacityTokens(), cacheEvents);
        this.cacheCalls = CacheCalls.create(loop, settings.cache(), cache);
        this.orders = OrderDesk.create(loop, settings);
        this.batch = Batch.create(
                loop,
                settings.batch(),
                CLOCK_MILLIS,
                new BatchHooks(this::slowMillis, this::cachedTokens, this::finished, this::noteLoad));
        this.chat = ChatCalls.create(loop, settings, faults, runs, batch, orders);
        this.load = LoadReports.create(settings.loadLagMillis(), CLOCK_MILLIS, this::describe);
        this.load.note(0);
    }

    /** Binds and starts to serve; where the process would halt, it closes. Must not be called on a loop of the group. */
    public static EngineStandin start(EventLoopGroup group, InetSocketAddress address, EngineSettings settings) {
        EventLoop loop = group.next();
        EngineStandin engine = new EngineStandin(loop, settings);
        engine.server = StandinServer.start(loop, address, engine.faults, engine.runs, engine::handle);
        return engine;
    }

    /** The same, with what is done where the process halts ({@code exit} and {@code poison}). */
    public static EngineStandin start(
            EventLoopGroup group, InetSocketAddress address, EngineSettings settings, Runnable halt) {
        EngineStandin engine = start(group, address, settings);
        engine.halt = halt;
        return engine;
    }

    /** Port in use. */
    public int port() {
        return server.port();
    }

    /** Stops; runs and cache are gone. */
    public void close() {
        server.close();
    }

    /** Turns a fault on; on return it is in force. */
    public void set(Fault fault) {
        server.set(fault);
    }

    /** Turns every fault off. */
    public void clearFaults() {
        server.clearFaults();
    }

    private void handle(HttpExchange exchange) {
        boolean work = exchange.path().equals(COMPLETIONS);
        if (faults.on(FaultKind.CRASH)) {
            exchange.abort();
        } else if (faults.hit(FaultKind.EXIT, work).isPresent()) {
            halt.run();
        } else if (faults.hit(FaultKind.REFUSE, work).isPresent()) {
            StandinServer.error(exchange, 503, "refused");
        } else if (faults.hit(FaultKind.HANG, work).isEmpty()) {
            route(exchange);
            noteLoad();
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
        } else if (path.startsWith(CacheCalls.PREFIX)) {
            cacheCalls.handle(exchange);
        } else if (call.equals("POST /engine/orders")) {
            orders.take(exchange);
        } else if (call.startsWith("GET /engine/orders/")) {
            orders.report(exchange);
        } else {
            StandinServer.error(exchange, 404, "no such call");
        }
    }

    private void complete(HttpExchange exchange) {
        Optional<ChatRequest> request = ChatRequest.parse(exchange);
        if (request.isEmpty()) {
            StandinServer.error(exchange, 400, "messages must be an array with an element");
            return;
        }
        Optional<Fault> poison = faults.standing(FaultKind.POISON);
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
            StandinServer.error(exchange, 422, "from is a number");
        }
    }

    /** A crash takes what runs at once; an exit without a count comes as soon as its order is answered. */
    private void faultSet(Fault fault) {
        if (fault.kind() == FaultKind.CRASH) {
            loseEverything();
        }
        if (fault.kind() == FaultKind.EXIT && fault.count() == 0) {
            loop.schedule(halt, EXIT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void loseEverything() {
        batch.breakOffAll();
        chat.forgetAll();
        orders.failRunning();
        cache.clear();
    }

    private long slowMillis() {
        return faults.standing(FaultKind.SLOW)
                .filter(fault -> fault.count() == 0)
                .map(Fault::millis)
                .orElse(0L);
    }

    private int cachedTokens(EngineRun run) {
        return cache.match(Prefix.of(run.request().messages()));
    }

    private void finished(EngineRun run) {
        Prefix whole =
                Prefix.of(run.request().messages()).withAnswer(run.answer().text());
        run.request().cacheKey().ifPresentOrElse(key -> cache.store(key, whole, true), () -> cache.storeUnnamed(whole));
        chat.finished(run);
    }

    private void noteLoad() {
        load.note(batch.wordsEmitted());
    }

    private ObjectNode describe(ObjectNode figures) {
        figures.put("running", batch.runningCount())
                .put("waiting", batch.waitingCount())
                .put("slots", settings.batch().slots())
                .put("cachedTokens", cache.usedTokens())
                .put("cacheCapacityTokens", settings.cache().capacityTokens());
        figures.set("models", orders.modelsJson());
        return figures.put("role", orders.role());
    }
}
