package org.quetzalshunt.server.gateway;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.quetzalshunt.core.quota.PeerTable;
import org.quetzalshunt.core.quota.VmLease;
import org.quetzalshunt.core.route.TrafficConfiguration;
import org.quetzalshunt.core.routing.EndpointTable;
import org.quetzalshunt.core.store.MapEntry;
import org.quetzalshunt.core.store.SharedMap;
import org.quetzalshunt.server.http.HttpClient;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.server.http.HttpLimits;
import org.quetzalshunt.server.http.HttpServer;
import org.quetzalshunt.server.http.IpPort;

/** One running gateway: its event loop, its two servers and its parts. */
public final class GatewayProcess {
    /** What a connection may carry before the configuration's own, lower bounds are known. */
    private static final HttpLimits CALLER_LIMITS = new HttpLimits(64 * 1024, 8 * 1024 * 1024, 15_000, 7_000);

    private static final HttpLimits PROBE_LIMITS = new HttpLimits(8 * 1024, 64 * 1024, 15_000, 100);

    /** The balancer asks once a second and takes a VM out after two misses. */
    private static final long BALANCER_MILLIS = 2_600;

    /** Left of the stopping time for the last answers to leave. */
    private static final long LAST_MILLIS = 700;

    private static final long CHECK_MILLIS = 100;

    private final GatewaySettings settings;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private final DecisionLog log;
    private HttpServer callers;
    private HttpServer probes;
    private Gateway gateway;
    private FleetFollower fleet;
    private AdmissionPipeline gate;
    private boolean stopping;

    private GatewayProcess(GatewaySettings settings) {
        this.settings = settings;
        this.log = DecisionLog.start(settings.vm(), System.out);
    }

    /**
     * Starts a gateway; returns once it listens.
     *
     * @param maps makes the client of the shared map on the gateway's HTTP client
     */
    public static GatewayProcess start(
            GatewaySettings settings, Dialect dialect, Function<HttpClient, SharedMap> maps) {
        GatewayProcess process = new GatewayProcess(settings);
        process.group.next().submit(() -> process.assemble(dialect, maps)).syncUninterruptibly();
        process.listen();
        return process;
    }

    private void assemble(Dialect dialect, Function<HttpClient, SharedMap> maps) {
        NodeClock clock = new NodeClock(this::clockJumped);
        HttpClient http = HttpClient.create(group);
        StoreClient map = new StoreClient(maps.apply(http), clock);
        EndpointTable endpoints =
                EndpointTable.create(settings.dataCentre(), settings.incarnation(), settings.policy());
        GatewayMetrics measures = new GatewayMetrics();
        Evacuations evacuations = new Evacuations(endpoints, clock, log);
        ConfigurationFollower configuration = new ConfigurationFollower(
                group.next(), map, dialect, clock, log, evacuations, this::configurationChanged);
        RegistrationFollower registrations =
                new RegistrationFollower(group.next(), map, dialect, clock, log, endpoints);
        PeerTable peers = PeerTable.create(settings.vm());
        VmLease lease = VmLease.create(settings.incarnation(), IpPort.format(settings.links()));
        QuotaManager quotas = new QuotaManager(map, clock, log, settings, configuration::current, peers, lease);
        fleet = new FleetFollower(group.next(), map, clock, log, settings, peers, lease, quotas::settled);
        PeerConnections links = new PeerConnections(
                group,
                settings,
                endpoints,
                clock,
                log,
                quotas::reserveHere,
                () -> map.unavailable() ? PeerConnections.STORE_UNAVAILABLE : configuration.ageMillis());
        CrashReporter crashes = new CrashReporter(group.next(), http, map, clock, log, settings);
        TurnHistory history = new TurnHistory(group.next(), map, clock, () -> gateway.isolatedFromStore());
        BudgetManager budgets = new BudgetManager(
                group.next(),
                map,
                clock,
                settings,
                () -> gateway.isolatedFromStore(),
                (program, allotted) -> gateway.chains().broadcastExhausted(program, allotted));
        ChainExchange chains = new ChainExchange(group.next(), settings, map, history, budgets, links);
        links.setChains(chains);
        gateway = new Gateway(
                settings,
                group.next(),
                clock,
                log,
                measures,
                dialect,
                http,
                endpoints,
                configuration,
                evacuations,
                registrations,
                quotas,
                history,
                budgets,
                map,
                links,
                chains,
                crashes,
                new RecoveryQueue(group.next(), clock));
        gate = new AdmissionPipeline(gateway, () -> stopping);
        gauges(measures);
        log.line(log.event("start")
                .put("incarnation", settings.incarnation())
                .put("dataCentre", settings.dataCentre())
                .put("policy", settings.policy().toString())
                .put("callers", settings.callers().toString()));
        configuration.start();
        registrations.start();
        quotas.start(links);
        fleet.start(new FleetEvents(quotas, links, crashes));
        group.next().scheduleWithFixedDelay(clock::check, CHECK_MILLIS, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void gauges(GatewayMetrics measures) {
        measures.gauge(
                "quetzalshunt.configuration.age.millis",
                "age of the proof that the configuration is current",
                () -> gateway.configuration().ageMillis());
        measures.gauge(
                "quetzalshunt.registrations.age.millis",
                "time since the endpoints' registrations were read",
                () -> gateway.registrations().ageMillis());
        measures.gauge("quetzalshunt.endpoints", "endpoints believed in", () -> gateway.endpoints()
                .ids()
                .size());
        measures.gauge(
                "quetzalshunt.evacuated.data.centres",
                "data centres that operators evacuate",
                () -> gateway.evacuations().ageMillis().size());
        measures.gauge(
                "quetzalshunt.connections.opened",
                "connections opened to endpoints and to the platform since the start",
                () -> gateway.http().connectionsOpened());
        measures.gauge("quetzalshunt.vms", "gateways believed to be live", () -> gateway.quotas()
                .liveVms());
    }

    private void listen() {
        callers = HttpServer.start(group, settings.callers(), CALLER_LIMITS, gate::handle);
        probes = HttpServer.start(group, settings.probes(), PROBE_LIMITS, this::probe);
    }

    private void configurationChanged(TrafficConfiguration configuration) {
        if (gateway != null) {
            gateway.quotas().configurationChanged(configuration);
        }
    }

    private void clockJumped() {
        log.line(log.event("clock-jumped"));
        gateway.configuration().lapse();
        gateway.quotas().lapse();
    }

    private void probe(HttpExchange exchange) {
        switch (exchange.path()) {
            case "/readyz" -> ready(exchange);
            case "/metrics" -> exchange.respondText(200, gateway.measures().scrape());
            case "/dump" -> exchange.respondJson(200, GatewayDump.of(gateway, stopping));
            default -> exchange.respondText(404, "no such path\n");
        }
    }

    private void ready(HttpExchange exchange) {
        boolean ready = isReady();
        exchange.respondText(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    }

    private boolean isReady() {
        return !stopping
                && !gateway.isolatedFromStore()
                && gateway.configuration().current().isPresent()
                && gateway.configuration().ageMillis() < settings.keyAgeMillis()
                && gateway.registrations().everRead()
                && !gateway.endpoints().ids().isEmpty()
                && gateway.quotas().leased()
                && gateway.quotas().reachesAllLeaseHolders();
    }

    /** Port for callers in use, also when port 0 was asked for. */
    public int callerPort() {
        return callers.port();
    }

    /** Port for probes in use, also when port 0 was asked for. */
    public int probePort() {
        return probes.port();
    }

    /** Tells in the log what came of reading the settings file again. */
    public void reloaded(String outcome) {
        log.line(log.event("reload").put("outcome", outcome));
    }

    /** Ends at once, breaking every connection, as a crash would; nothing is given back. */
    public void kill() {
        callers.close();
        probes.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /**
     * Graceful shutdown: reports "not ready" at once, serves what still comes until the balancer has noticed, closes
     * idle connections, and ends when the last request has its answer or the time is up.
     */
    public CompletableFuture<Void> stop() {
        group.next().execute(() -> {
            if (stopping) {
                return;
            }
            stopping = true;
            log.line(log.event("stop").put("connections", callers.connections()));
            group.next().schedule(this::stopAccepting, BALANCER_MILLIS, TimeUnit.MILLISECONDS);
            long last = Math.max(0, settings.stopMillis() - LAST_MILLIS);
            group.next().schedule(this::end, last, TimeUnit.MILLISECONDS);
        });
        return stopped;
    }

    private void stopAccepting() {
        callers.stopAccepting();
        callers.closeIdle();
        if (callers.connections() == 0) {
            end();
            return;
        }
        group.next().schedule(this::stopAccepting, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void end() {
        if (stopped.isDone()) {
            return;
        }
        log.line(log.event("stopped").put("connections", callers.connections()));
        gateway.quotas().stop();
        fleet.stop();
        group.next().schedule(() -> stopped.complete(null), CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    /** Passes what was read of the fleet to the parts that it concerns. */
    private record FleetEvents(QuotaManager quotas, PeerConnections links, CrashReporter crashes)
            implements FleetFollower.Listener {
        @Override
        public void onFleetRead() {
            quotas.onFleetRead();
        }

        @Override
        public void onSecret(byte[] secret) {
            links.start(secret);
        }

        @Override
        public void onCrashReport(MapEntry entry) {
            crashes.heard(entry);
        }
    }
}
