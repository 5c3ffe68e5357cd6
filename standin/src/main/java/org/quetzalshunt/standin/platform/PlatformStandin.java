package org.quetzalshunt.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.EnumSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.standin.control.Fault;
import org.quetzalshunt.standin.control.FaultInjector;
import org.quetzalshunt.standin.control.FaultKind;
import org.quetzalshunt.standin.control.RateBucket;
import org.quetzalshunt.standin.control.RunLog;
import org.quetzalshunt.standin.control.StandinServer;
import org.quetzalshunt.wire.json.Json;

/** Server that stands in for the platform: log service, VM list and weight store, all in memory. */
public final class PlatformStandin {
    private static final Set<FaultKind> SUPPORTED = EnumSet.of(
            FaultKind.OUTAGE, FaultKind.SLOW, FaultKind.LOST_ANSWER, FaultKind.REFUSE, FaultKind.LIST_FROZEN);
    private static final String VM_PREFIX = "/standin/vms/";
    private static final String WEIGHTS_PREFIX = "/weights/";
    private static final long WEIGHT_BYTES = 1_000_000_000L;

    private final EventLoop loop;
    private final PlatformSettings settings;
    private final LongSupplier clockMillis;
    private final FaultInjector faults;
    private final ResponseSender responses;
    private final LogService log;
    private final VmList vms;
    private final RateBucket weightLoadLimiter;
    private StandinServer server;

    private PlatformStandin(EventLoop loop, PlatformSettings settings, LongSupplier clockMillis) {
        this.loop = loop;
        this.settings = settings;
        this.clockMillis = clockMillis;
        this.faults = FaultInjector.create(SUPPORTED, clockMillis);
        this.responses = ResponseSender.create(loop, faults);
        this.log = LogService.create(loop, settings, faults, clockMillis, responses);
        this.vms = VmList.create(settings.vmListLagMillis());
        double burst = Math.max(1, settings.weightLoadsPerSecond());
        this.weightLoadLimiter = RateBucket.full(settings.weightLoadsPerSecond(), burst, clockMillis.getAsLong());
    }

    /** Binds the address and starts to serve. Must not be called on an event loop of the group. */
    public static PlatformStandin start(EventLoopGroup group, InetSocketAddress address, PlatformSettings settings) {
        return start(group, address, settings, System::currentTimeMillis);
    }

    static PlatformStandin start(
            EventLoopGroup group, InetSocketAddress address, PlatformSettings settings, LongSupplier clockMillis) {
        EventLoop loop = group.next();
        PlatformStandin platform = new PlatformStandin(loop, settings, clockMillis);
        RunLog runs = RunLog.create(clockMillis);
        platform.server = StandinServer.start(loop, address, platform.faults, runs, platform::handle);
        return platform;
    }

    /** Port that the server is bound to. */
    public int port() {
        return server.port();
    }

    /** Stops the server. The data is not persisted. */
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
        String path = exchange.path();
        if (path.startsWith(LogService.PREFIX)) {
            log.handle(exchange);
        } else if (path.equals("/vms")) {
            listVms(exchange);
        } else if (path.startsWith(VM_PREFIX)) {
            changeVm(exchange, path.substring(VM_PREFIX.length()));
        } else if (path.startsWith(WEIGHTS_PREFIX)) {
            loadWeights(exchange, path.substring(WEIGHTS_PREFIX.length()));
        } else {
            StandinServer.error(exchange, 404, "no such path");
        }
    }

    private void listVms(HttpExchange exchange) {
        if (!faults.isActive(FaultKind.LIST_FROZEN)) {
            vms.applyDueChanges(clockMillis.getAsLong());
        }
        responses.json(exchange, vms.toJson());
    }

    private void changeVm(HttpExchange exchange, String name) {
        if (exchange.method().equals("DELETE")) {
            vms.delete(name, clockMillis.getAsLong());
            exchange.respond(204, Map.of(), new byte[0]);
            return;
        }
        Optional<JsonNode> vm = Json.parse(exchange.body()).filter(JsonNode::isObject);
        if (!exchange.method().equals("PUT") || vm.isEmpty()) {
            StandinServer.error(exchange, 422, "expected PUT with a JSON object, or DELETE");
            return;
        }
        vms.put(name, ((ObjectNode) vm.get()).put("name", name), clockMillis.getAsLong());
        exchange.respond(204, Map.of(), new byte[0]);
    }

    private void loadWeights(HttpExchange exchange, String name) {
        String[] modelAndVersion = name.split("/", -1);
        if (modelAndVersion.length != 2 || settings.missingWeights().contains(name)) {
            StandinServer.error(exchange, 404, "no such version");
            return;
        }
        if (!weightLoadLimiter.take(clockMillis.getAsLong())) {
            exchange.respond(
                    429, Map.of("retry-after", "1"), StandinServer.errorBody("weight load rate limit exceeded"));
            return;
        }
        byte[] body = Json.bytes(Json.object()
                .put("model", modelAndVersion[0])
                .put("version", modelAndVersion[1])
                .put("bytes", WEIGHT_BYTES));
        loop.schedule(() -> responses.json(exchange, body), settings.weightLoadMillis(), TimeUnit.MILLISECONDS);
    }
}
