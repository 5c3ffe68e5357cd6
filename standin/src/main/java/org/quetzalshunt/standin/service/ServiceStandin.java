package org.quetzalshunt.standin.service;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.EnumSet;
import java.util.HexFormat;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.standin.control.Fault;
import org.quetzalshunt.standin.control.FaultInjector;
import org.quetzalshunt.standin.control.FaultKind;
import org.quetzalshunt.standin.control.Run;
import org.quetzalshunt.standin.control.RunLog;
import org.quetzalshunt.standin.control.RunState;
import org.quetzalshunt.standin.control.StandinServer;
import org.quetzalshunt.wire.json.Json;

/**
 * Server that executes any call and returns {@code {"method","path","bodySha256","idempotencyKey","runs"}}, where
 * {@code runs} is the number of times that this process has executed a call with that idempotency key. A value above 1
 * means that a call was executed twice.
 */
public final class ServiceStandin {
    private static final Set<FaultKind> SUPPORTED =
            EnumSet.of(FaultKind.HANG, FaultKind.SLOW, FaultKind.CUT, FaultKind.REFUSE);

    private final EventLoop loop;
    private final ServiceSettings settings;
    private final FaultInjector faults = FaultInjector.create(SUPPORTED, System::currentTimeMillis);
    private final RunLog runs = RunLog.create(System::currentTimeMillis);
    private StandinServer server;

    private ServiceStandin(EventLoop loop, ServiceSettings settings) {
        this.loop = loop;
        this.settings = settings;
    }

    /** Binds the address and starts to serve. Must not be called on an event loop of the group. */
    public static ServiceStandin start(EventLoopGroup group, InetSocketAddress address, ServiceSettings settings) {
        EventLoop loop = group.next();
        ServiceStandin service = new ServiceStandin(loop, settings);
        service.server = StandinServer.start(loop, address, service.faults, service.runs, service::handle);
        return service;
    }

    /** Port that the server is bound to. */
    public int port() {
        return server.port();
    }

    /** Stops the server. The log of runs is not persisted. */
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
        if (faults.trigger(FaultKind.REFUSE).isPresent()) {
            StandinServer.error(exchange, 503, "refused");
            return;
        }
        Run run = runs.start(exchange);
        byte[] answer = answer(exchange, run);
        if (faults.trigger(FaultKind.HANG).isPresent()) {
            exchange.onClose(() -> run.setState(RunState.CANCELLED));
            return;
        }
        if (faults.trigger(FaultKind.CUT).isPresent()) {
            run.setState(RunState.CUT);
            exchange.abort();
            return;
        }
        Optional<Fault> slow = faults.trigger(FaultKind.SLOW);
        long delay = settings.callMillis() + slow.map(Fault::millis).orElse(0L);
        exchange.onClose(() -> run.setState(RunState.CUT));
        loop.schedule(() -> finish(exchange, run, answer), delay, TimeUnit.MILLISECONDS);
    }

    private static void finish(HttpExchange exchange, Run run, byte[] answer) {
        if (exchange.finished()) {
            return;
        }
        run.setState(RunState.DONE);
        StandinServer.json(exchange, 200, answer);
    }

    private byte[] answer(HttpExchange exchange, Run run) {
        return Json.bytes(Json.object()
                .put("method", exchange.method())
                .put("path", exchange.path())
                .put("bodySha256", sha256(exchange.body()))
                .put("idempotencyKey", run.idempotencyKey())
                .put("runs", run.idempotencyKey().isEmpty() ? 1 : runs.count(run.idempotencyKey())));
    }

    private static String sha256(byte[] data) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(data));
        } catch (NoSuchAlgorithmException impossible) {
            throw new IllegalStateException(impossible);
        }
    }
}
