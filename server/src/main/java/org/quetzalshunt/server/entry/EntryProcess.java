package org.quetzalshunt.server.entry;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.core.configuration.ConfigurationStatus;
import org.quetzalshunt.core.decision.Scheduler;
import org.quetzalshunt.core.decision.SchedulerSettings;
import org.quetzalshunt.core.membership.Membership;
import org.quetzalshunt.core.membership.MembershipSettings;
import org.quetzalshunt.core.memory.ResponseBudget;
import org.quetzalshunt.core.vm.Vm;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.core.vm.VmRole;
import org.quetzalshunt.server.http.CallerMemory;
import org.quetzalshunt.server.http.ConnectionReuse;
import org.quetzalshunt.server.http.HttpClient;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.server.http.HttpLimits;
import org.quetzalshunt.server.http.HttpServer;
import org.quetzalshunt.server.http.PendingExchange;
import org.quetzalshunt.server.log.LogClient;
import org.quetzalshunt.server.transport.LinkConnector;
import org.quetzalshunt.server.transport.LinkIdentity;
import org.quetzalshunt.server.transport.LinkServer;
import org.quetzalshunt.server.transport.LinkSettings;
import org.quetzalshunt.wire.record.ShardRecords;
import org.tinylog.Logger;

/** One running entry: creates the event loop, the servers and the components, and runs the periodic work. */
public final class EntryProcess {
    private static final long SLOW_TICK_INTERVAL_MILLIS = 100;

    /** Part of the stop timeout that is reserved for sending the last responses. */
    private static final long LAST_RESPONSES_MILLIS = 700;

    private final EntrySettings settings;
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final EntryClock clock = new EntryClock();
    private final VmId self;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();
    private HttpServer httpServer;
    private LinkServer linkServer;
    private LinkConnector connector;
    private Membership membership;
    private ConfigurationStream configurationStream;
    private ShardManager shards;
    private Peers peers;
    private AttemptTracker attempts;
    private WorkDispatcher workDispatcher;
    private OwnerRouter router;
    private OwnerContext owner;
    private VmListPoller vmListPoller;
    private CallerApi callerApi;
    private AdminApi adminApi;
    private CacheLeaseRenewer cacheLeaseRenewer;
    private LinkEventHandler linkEventHandler;
    private FleetRateLimiter rateLimiter;
    private OwnerService service;
    private final JoinPeriod joinPeriod = new JoinPeriod(clock);
    private Ticker ticker;
    private long lastSlowTickMillis;
    private boolean stopping;
    private boolean endingRequests;
    private long stopDeadlineMillis;

    private EntryProcess(EntrySettings settings) {
        this.settings = settings;
        this.self = VmId.of(settings.vm(), settings.incarnation());
    }

    /** Starts an entry and returns once it listens. It accepts requests once {@code /readyz} answers 200. */
    public static EntryProcess start(EntrySettings settings) {
        EntryProcess process = new EntryProcess(settings);
        process.listen();
        try {
            process.group.next().submit(process::assemble).sync();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return process;
    }

    private void listen() {
        LinkIdentity identity = new LinkIdentity(self, VmRole.ENTRY, settings.dataCentre());
        LinkSettings linkSettings = LinkSettings.of(identity, settings.secret());
        LinkEventAdapter linkListener = new LinkEventAdapter(this::onLink);
        InetSocketAddress httpAddress = new InetSocketAddress(settings.host(), settings.httpPort());
        httpServer = HttpServer.start(
                group,
                httpAddress,
                HttpLimits.defaults(),
                this::onRequest,
                CallerMemory.unlimited(),
                () -> stopping ? ConnectionReuse.ENDED : ConnectionReuse.ALLOWED);
        linkServer = LinkServer.start(
                group, new InetSocketAddress(settings.host(), settings.linkPort()), linkSettings, linkListener);
        connector = LinkConnector.create(group, linkSettings, linkListener);
    }

    private void assemble() {
        Vm selfVm =
                new Vm(self.name(), VmRole.ENTRY, settings.host(), linkServer.port(), settings.dataCentre(), "", false);
        HttpClient client = HttpClient.create(group);
        LogClient log = LogClient.create(client, List.of(settings.platform()), clock::now);
        EntryMetrics metrics = new EntryMetrics();
        membership = Membership.create(self, selfVm, MembershipSettings.defaults());
        configurationStream = new ConfigurationStream(clock, self.toString(), self.incarnation(), log);
        log.attach(configurationStream.session());
        attempts = new AttemptTracker(
                clock, ResponseBudget.ofHeap(Runtime.getRuntime().maxMemory()), self.incarnation());
        workDispatcher = new WorkDispatcher(
                clock, Scheduler.create(SchedulerSettings.of(settings.dataCentre(), 1, self.incarnation())));
        cacheLeaseRenewer = new CacheLeaseRenewer(clock, workDispatcher.scheduler(), attempts);
        owner = new OwnerContext(
                clock,
                configurationStream.configuration(),
                workDispatcher,
                attempts,
                new HashMap<>(),
                new HashMap<>(),
                new DuplicateRequests(),
                metrics,
                program -> cacheLeaseRenewer.release(shards, program),
                (request, sink) ->
                        router.route(RequestShards.of(request, settings.shards()), request.withHopAdded(), sink));
        service = new OwnerService(owner, number -> shards.shard(number));
        shards = new ShardManager(
                self,
                clock,
                membership,
                joinPeriod,
                settings.shards(),
                settings.commitIntervalMillis(),
                log,
                ShardRecords.create(),
                service);
        shards.sessions().forEach(log::attach);
        router = new OwnerRouter(clock, self.name(), shards::ownerOf, service::handle);
        peers = new Peers(self, clock, membership, configurationStream);
        rateLimiter =
                new FleetRateLimiter(self, clock, configurationStream, membership, joinPeriod, peers.entryLinks());
        linkEventHandler = new LinkEventHandler(
                peers,
                attempts,
                workDispatcher,
                router,
                request -> RequestShards.of(request, settings.shards()),
                clock,
                rateLimiter);
        vmListPoller = new VmListPoller(client, settings.platform(), clock, this::onVmList);
        RequestIds requestIds = new RequestIds(self.incarnation(), self.name());
        callerApi = new CallerApi(
                clock,
                configurationStream,
                rateLimiter,
                router,
                metrics,
                requestIds,
                settings.shards(),
                () -> stopping);
        EntryDump dump =
                new EntryDump(self, clock, membership, configurationStream, shards, rateLimiter, owner, router);
        AdminStatus status = new AdminStatus(configurationStream.configuration(), membership, shards, dump);
        adminApi = new AdminApi(clock, configurationStream, requestIds, settings.operatorKeyHashes(), status);
        metrics.gauge(
                "quetzalshunt.work.queued", () -> workDispatcher.scheduler().queued());
        metrics.gauge(
                "quetzalshunt.work.running", () -> workDispatcher.scheduler().running());
        metrics.gauge("quetzalshunt.requests.catching.up", callerApi::waitingRequests);
        metrics.gauge("quetzalshunt.shards.owned", () -> shards.ownedNumbers().size());
        ticker = new Ticker(group.next(), this::tick, this::isBusy);
        ticker.start();
    }

    private boolean isBusy() {
        return workDispatcher.scheduler().queued() + workDispatcher.scheduler().running() > 0
                || router.waitingRequests() > 0
                || shards.hasBacklog()
                || configurationStream.session().backlogRecords() > 0
                || configurationStream.session().isCatchingUp(clock.now())
                || callerApi.waitingRequests() > 0
                || rateLimiter.hasWaitingRequests();
    }

    private void tick() {
        configurationStream.tick();
        callerApi.tick();
        shards.tick();
        workDispatcher.tick();
        rateLimiter.tick();
        attempts.tick(clock.now());
        if (clock.now() - lastSlowTickMillis >= SLOW_TICK_INTERVAL_MILLIS) {
            lastSlowTickMillis = clock.now();
            slowTick();
        }
    }

    private void slowTick() {
        vmListPoller.tick();
        peers.tick(attempts.links(), shards.ownedNumbers(), stopping);
        router.tick();
        service.tick();
        cacheLeaseRenewer.tick(shards);
        if (stopping) {
            completeStopWhenIdle();
        }
    }

    private void onVmList(List<Vm> vms) {
        membership.onVmList(clock.now(), vms);
        workDispatcher
                .scheduler()
                .setEntryCount(Math.max(1, membership.liveEntries().size()));
        joinPeriod.onVmListRead();
        connector.setAddresses(peers.wantedAddresses());
    }

    private void onLink(LinkEventAdapter.Event event) {
        if (linkEventHandler != null) {
            linkEventHandler.handle(event);
            wakeForWork();
        }
    }

    private void onRequest(HttpExchange exchange) {
        String path = exchange.path();
        if (callerApi == null) {
            exchange.respondText(503, "starting\n");
        } else if (CallerApi.handles(path)) {
            callerApi.handle(exchange);
            wakeForWork();
        } else if (path.startsWith(AdminApi.PREFIX)) {
            adminApi.handle(exchange);
            wakeForWork();
        } else {
            probe(exchange, path);
        }
    }

    private void wakeForWork() {
        if (ticker != null && isBusy()) {
            ticker.wake();
        }
    }

    private void probe(HttpExchange exchange, String path) {
        switch (path) {
            case "/healthz" -> exchange.respondText(200, "ok\n");
            case "/readyz" -> respondReady(exchange, isReady());
            case "/metrics" -> exchange.respondText(200, owner.metrics().scrape());
            default -> exchange.respondText(404, "no such path\n");
        }
    }

    private static void respondReady(HttpExchange exchange, boolean ready) {
        exchange.respondText(ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    }

    private boolean isReady() {
        return !stopping
                && configurationStream.isReady()
                && configurationStream.status() != ConfigurationStatus.STALE
                && vmListPoller.hasReadList()
                && rateLimiter.isServing();
    }

    /** Port for callers and operators. */
    public int httpPort() {
        return httpServer.port();
    }

    /** Port for other entries. */
    public int linkPort() {
        return linkServer.port();
    }

    /**
     * Starts a planned stop: refuses new requests, hands over the shards and waits, for a bounded time, until all
     * responses are finished. The future completes when the process may exit.
     */
    public CompletableFuture<Void> stop() {
        group.next().execute(() -> {
            if (stopping) {
                return;
            }
            Logger.info(
                    "stopping, {} shards to hand over", shards.ownedNumbers().size());
            stopping = true;
            stopDeadlineMillis = clock.now() + settings.stopMillis();
            shards.leave();
            rateLimiter.leave();
        });
        return stopped;
    }

    private void completeStopWhenIdle() {
        boolean idle = shards.ownsNoShard()
                && owner.chatRuns().isEmpty()
                && owner.callRuns().isEmpty()
                && router.forwardedRequests() == 0
                && router.waitingRequests() == 0
                && callerApi.waitingRequests() == 0
                && (rateLimiter.limits().isHandoverComplete()
                        || membership.liveEntries().size() <= 1);
        if (idle || endingRequests || clock.now() > stopDeadlineMillis - LAST_RESPONSES_MILLIS) {
            endRequests(idle);
        }
    }

    /** Ends the requests in progress, and ends the process once the responses are sent. */
    private void endRequests(boolean idle) {
        if (!endingRequests) {
            endingRequests = true;
            httpServer.stopAccepting();
            Logger.info(
                    "all requests and handovers finished: {}, requests to end: {}",
                    idle,
                    httpServer.pending().stream()
                            .map(PendingExchange::requestId)
                            .toList());
            httpServer.endPending();
        }
        httpServer.closeIdle();
        if (httpServer.connections() == 0 || clock.now() > stopDeadlineMillis) {
            Logger.info("stopped, {} connections open", httpServer.connections());
            kill();
            stopped.complete(null);
        }
    }

    /** Stops at once, as in a crash: shards are not handed over and responses in progress are cut off. */
    public void kill() {
        // Runs on the event loop, which owns the connections; another thread could miss some of them.
        group.next().execute(() -> {
            httpServer.close();
            linkServer.close();
            group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
        });
    }
}
