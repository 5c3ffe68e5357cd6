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
import org.quetzalshunt.standin.control.FaultKind;
import org.quetzalshunt.standin.control.FaultSwitches;
import org.quetzalshunt.standin.control.Run;
import org.quetzalshunt.standin.control.RunBook;
import org.quetzalshunt.standin.control.RunState;
import org.quetzalshunt.standin.control.StandinServer;
import org.quetzalshunt.wire.json.Json;

/**
 * Runs any call and answers with what it got: {@code {"method","path","bodySha256","idempotencyKey","runs"}}, where
 * {@code runs} is how often this process ran that idempotency key. More than 1 means that a call was doubled.
 */
public final class ServiceStandin {
    private static final Set<FaultKind> SUPPORTED =
            EnumSet.of(FaultKind.HANG, FaultKind.SLOW, FaultKind.CUT, FaultKind.REFUSE);

    private final EventLoop loop;
    private final ServiceSettings settings;
    private final FaultSwitches faults = FaultSwitches.create(SUPPORTED, System::currentTimeMillis);
    private final RunBook runs = RunBook.create(System::currentTimeMillis);
    private StandinServer server;

    private ServiceStandin(EventLoop loop, ServiceSettings settings) {
        this.loop = loop;
        this.settings = settings;
    }

    /** Binds and starts to serve. Must not be called on a loop of the group. */
    public static ServiceStandin start(EventLoopGroup group, InetSocketAddress address, ServiceSettings settings) {
        EventLoop loop = group.next();
        ServiceStandin service = new ServiceStandin(loop, settings);
        service.server = StandinServer.start(loop, address, service.faults, service.runs, service::handle);
        return service;
    }

    /** Port in use. */
    public int port() {
        return server.port();
    }

    /** Stops; the record of runs is gone. */
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
        if (faults.hit(FaultKind.REFUSE).isPresent()) {
            StandinServer.error(exchange, 503, "refused");
            return;
        }
        Run run = runs.start(exchange);
        byte[] answer = answer(exchange, run);
        if (faults.hit(FaultKind.HANG).isPresent()) {
            exchange.onClose(() -> run.mark(RunState.CANCELLED));
            return;
        }
        if (faults.hit(FaultKind.CUT).isPresent()) {
            run.mark(RunState.CUT);
            exchange.abort();
            return;
        }
        Optional<Fault> slow = faults.hit(FaultKind.SLOW);
        long delay = settings.callMillis() + slow.map(Fault::millis).orElse(0L);
        exchange.onClose(() -> run.mark(RunState.CUT));
        loop.schedule(() -> finish(exchange, run, answer), delay, TimeUnit.MILLISECONDS);
    }

    private static void finish(HttpExchange exchange, Run run, byte[] answer) {
        if (exchange.finished()) {
            return;
        }
        run.mark(RunState.DONE);
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
