package org.quetzalshunt.server.gateway;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.quetzalshunt.core.memory.ResponseBudget;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.quota.PeerTable;
import org.quetzalshunt.core.quota.VmLease;
import org.quetzalshunt.core.route.TrafficConfiguration;
import org.quetzalshunt.core.routing.EndpointTable;
import org.quetzalshunt.core.stop.PlannedStop;
import org.quetzalshunt.core.store.SharedMap;
import org.quetzalshunt.server.http.ConnectionReuse;
import org.quetzalshunt.server.http.HttpClient;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.server.http.HttpLimits;
import org.quetzalshunt.server.http.HttpServer;
import org.quetzalshunt.server.http.IpPort;

/** A running gateway with its event loop, its HTTP servers for callers and probes, and its components. */
public final class GatewayProcess {
    /** HTTP limits that also apply before a configuration is read; the limits of the configuration are lower. */
    private static final HttpLimits CALLER_LIMITS = new HttpLimits(64 * 1024, 8 * 1024 * 1024, 15_000, 7_000);

    private static final HttpLimits PROBE_LIMITS = new HttpLimits(8 * 1024, 64 * 1024, 15_000, 100);

    private static final long CHECK_INTERVAL_MILLIS = 100;

    private final GatewaySettings settings;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final DecisionLog log;
    private HttpServer callers;
    private HttpServer probes;
    private Gateway gateway;
    private FleetFollower fleet;
    private AdmissionPipeline pipeline;
    private final PlannedStop stop;
    private StopSequence stopSequence;

    private GatewayProcess(GatewaySettings settings) {
        this.settings = settings;
        this.log = DecisionLog.start(settings.vm(), System.out);
        this.stop = StopSequence.plan(settings.stopMillis());
    }

    /**
     * Starts a gateway and returns once it accepts connections.
     *
     * @param storeFactory creates the client of the store on the gateway's HTTP client
     */
    public static GatewayProcess start(
            GatewaySettings settings, Dialect dialect, Function<HttpClient, SharedMap> storeFactory) {
        GatewayProcess process = new GatewayProcess(settings);
        process.group
                .next()
                .submit(() -> process.assemble(dialect, storeFactory))
                .syncUninterruptibly();
        process.listen();
        return process;
    }

    private void assemble(Dialect dialect, Function<HttpClient, SharedMap> storeFactory) {
        NodeClock clock = new NodeClock(this::onClockJump);
        HttpClient http = HttpClient.create(group);
        http.unmatched().onResponse(new UnmatchedReports(log, clock, dialect)::onResponse);
        StoreClient store = new StoreClient(storeFactory.apply(http), clock);
        EndpointTable endpoints =
                EndpointTable.create(settings.dataCentre(), settings.incarnation(), settings.policy());
        GatewayMetrics metrics = new GatewayMetrics();
        Evacuations evacuations = new Evacuations(endpoints, clock, log);
        ConfigurationFollower configuration = new ConfigurationFollower(
                group.next(), store, dialect, clock, log, evacuations, this::onConfigurationChange);
        RegistrationFollower registrations =
                new RegistrationFollower(group.next(), store, dialect, clock, log, endpoints);
        PeerTable peers = PeerTable.create(settings.vm());
        VmLease lease = VmLease.create(settings.incarnation(), IpPort.format(settings.linkAddress()));
        QuotaManager quotas = new QuotaManager(
                store,
                clock,
                log,
                settings,
                configuration::current,
                peers,
                lease,
                AdmissionReport.observedAdmissions(log, metrics, clock),
                () -> gateway.isEnabled(Mechanism.PROGRAM_ADMISSION));
        fleet = new FleetFollower(group.next(), store, clock, log, settings, peers, lease, quotas::isSettled);
        AccountShareControl shares = new AccountShareControl(
                clock,
                log,
                endpoints,
                configuration::current,
                () -> gateway.isEnabled(Mechanism.ACCOUNT_SHARES),
                settings.vm().hashCode());
        PeerConnections links = new PeerConnections(
                group,
                settings,
                endpoints,
                new SpeedExchange(endpoints.speeds(), clock, () -> gateway.isEnabled(Mechanism.SPEED_SAMPLING)),
                () -> gateway.isEnabled(Mechanism.LOCAL_FIRST),
                clock,
                log,
                quotas,
                () -> store.isUnavailable() ? PeerConnections.STORE_UNAVAILABLE : configuration.ageMillis(),
                shares,
                bytes -> RoutingReports.countPeerBytes(gateway, bytes));
        CrashReporter crashes = new CrashReporter(group.next(), http, store, clock, log, settings);
        TurnHistory history =
                new TurnHistory(group.next(), store, clock, log, metrics, () -> gateway.isolatedFromStore());
        BudgetManager budgets = new BudgetManager(
                group.next(),
                store,
                clock,
                log,
                settings,
                () -> gateway.isolatedFromStore(),
                (program, allotted) -> gateway.chains().broadcastExhausted(program, allotted));
        ChainExchange chains = new ChainExchange(group.next(), settings, store, history, budgets, links);
        links.setChains(chains);
        StartDispatch starts = StartDispatch.create(endpoints, quotas::liveVms, settings.incarnation());
        links.setDispatcher(starts.dispatcher());
        if (settings.policy().isEnabled(Mechanism.DISPATCH_QUEUE)) {
            shares.setQueue(starts.dispatcher());
        }
        gateway = new Gateway(
                settings,
                group.next(),
                clock,
                log,
                metrics,
                dialect,
                http,
                endpoints,
                configuration,
                evacuations,
                registrations,
                quotas,
                history,
                budgets,
                store,
                links,
                chains,
                crashes,
                new RecoveryQueue(group.next(), clock),
                starts,
                shares,
                new GatewayMemory(
                        settings,
                        group.next(),
                        metrics,
                        log,
                        http,
                        () -> gateway != null && gateway.isEnabled(Mechanism.MEMORY_LIMIT)),
                ResponseBudget.ofHeap(Runtime.getRuntime().maxMemory()),
                stop);
        gateway.memory().start(group.next(), links::unreadBytes);
        pipeline = new AdmissionPipeline(gateway);
        SlowdownWatch.startSweep(gateway);
        GatewayGauges.register(gateway);
        shares.start(group.next(), metrics);
        log.write(log.event("start")
                .put("incarnation", settings.incarnation())
                .put("dataCentre", settings.dataCentre())
                .put("policy", settings.policy().toString())
                .put("callers", settings.callerAddress().toString()));
        configuration.start();
        registrations.start();
        quotas.start(links);
        fleet.start(new FleetEvents(quotas, links, crashes));
        ProcessorTime.startLog(group.next(), log);
        group.next()
                .scheduleWithFixedDelay(
                        clock::detectJump, CHECK_INTERVAL_MILLIS, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void listen() {
        callers = HttpServer.start(
                group,
                settings.callerAddress(),
                CALLER_LIMITS,
                pipeline::handle,
                gateway.memory().callers(),
                this::connectionReuse);
        probes = HttpServer.start(group, settings.probeAddress(), PROBE_LIMITS, this::probe);
        stopSequence = StopSequence.create(group.next(), gateway, callers, settings.stopMillis(), fleet::stop);
    }

    /** Closed connections move their callers to other VMs, since the balancer opens new ones only to ready VMs. */
    private ConnectionReuse connectionReuse() {
        if (stop.hasBegun()) {
            return ConnectionReuse.ENDED;
        }
        return gateway.isolatedFromStore() ? ConnectionReuse.ENDS_WITH_RESPONSE : ConnectionReuse.ALLOWED;
    }

    private void onConfigurationChange(TrafficConfiguration configuration) {
        if (gateway != null) {
            gateway.quotas().onConfigurationChange(configuration);
        }
    }

    private void onClockJump() {
        log.write(log.event("clock-jumped"));
        gateway.configuration().discardConfirmation();
        gateway.quotas().endLease();
    }

    private void probe(HttpExchange exchange) {
        switch (exchange.path()) {
            case "/readyz" -> respondReady(exchange);
            case "/metrics" -> exchange.respondText(200, gateway.metrics().scrape());
            case "/dump" -> exchange.respondJson(200, GatewayDump.toJson(gateway, stop.hasBegun()));
            default -> exchange.respondText(404, "no such path\n");
        }
    }

    private void respondReady(HttpExchange exchange) {
        boolean ready = isReady();
        exchange.respondText(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    }

    private boolean isReady() {
        return !stop.hasBegun()
                && !gateway.isolatedFromStore()
                && gateway.configuration().current().isPresent()
                && gateway.configuration().ageMillis() < settings.maximumKeyAgeMillis()
                && gateway.registrations().everRead()
                && !gateway.endpoints().ids().isEmpty()
                && gateway.quotas().isLeased()
                && gateway.quotas().reachesAllLeaseHolders();
    }

    /** Port on which callers are served; the assigned one if port 0 was configured. */
    public int callerPort() {
        return callers.port();
    }

    /** Port on which probes are served; the assigned one if port 0 was configured. */
    public int probePort() {
        return probes.port();
    }

    /** Logs the outcome of reading the settings file again. */
    public void logReload(String outcome) {
        log.write(log.event("reload").put("outcome", outcome));
    }

    /** Stops at once and closes all connections, as a crash would; no lease is released. */
    public void kill() {
        callers.close();
        probes.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Graceful shutdown; see {@link StopSequence}. Further calls have no effect. */
    public CompletableFuture<Void> stop() {
        return stopSequence.begin();
    }
}
