package org.quetzalshunt.server.sidecar;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Optional;
import org.quetzalshunt.core.attempt.EndpointEvent;
import org.quetzalshunt.core.attempt.EndpointGate;
import org.quetzalshunt.core.attempt.GateCounts;
import org.quetzalshunt.core.attempt.GateOutput;
import org.quetzalshunt.core.attempt.RolloutStatus;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.vm.VmRole;
import org.quetzalshunt.server.transport.LinkListener;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.CacheRelease;
import org.quetzalshunt.wire.generated.CacheRenew;
import org.quetzalshunt.wire.generated.Message;

/** Joins links, gate and endpoint. Used on the event loop only. */
final class Sidecar implements LinkListener {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final SidecarSettings settings;
    private final EndpointGate gate;
    private final EndpointRuns runs;
    private final EngineClient engine;
    private final EndpointHealth health;
    private final EngineOrders orders;
    private final LinkTable links = new LinkTable();
    private final ReportSender reports;
    private final Ticker ticker;

    private Sidecar(EventLoopGroup group, SidecarSettings settings) {
        this.settings = settings;
        this.gate = EndpointGate.create(settings.gateSettings(), this::perform, nowMillis());
        this.runs = EndpointRuns.create(group, settings, this::onEndpoint);
        this.engine = EngineClient.create(group, settings);
        this.orders = EngineOrders.create(group, settings, Sidecar::nowMillis);
        this.health = new EndpointHealth(settings.kind(), settings.times(), orders::onLoad);
        this.reports = new ReportSender(settings, links);
        this.ticker = Ticker.create(group.next(), this::tick, this::isBusy);
    }

    static Sidecar create(EventLoopGroup group, SidecarSettings settings) {
        return new Sidecar(group, settings);
    }

    @Override
    public void onOpen(PeerLink link) {
        if (link.remote().role() != VmRole.ENTRY || !links.noteIncarnation(link)) {
            link.close();
            return;
        }
        links.listFormer(link).forEach(PeerLink::close);
        links.add(link);
        reports.sendTo(link, gate.counts(), health.load(), isHealthy());
    }

    @Override
    public void onMessage(PeerLink link, Message message) {
        Optional<Long> number = links.number(link);
        if (number.isEmpty()) {
            return;
        }
        long now = nowMillis();
        switch (message.getSetField()) {
            case ATTEMPT_START ->
                AttemptMessages.order(message.getAttemptStart())
                        .ifPresent(order -> gate.start(number.get(), order, now));
            case ATTEMPT_RESUME ->
                gate.resume(
                        number.get(),
                        message.getAttemptResume().getAttempt(),
                        message.getAttemptResume().getFromSequence());
            case ATTEMPT_CANCEL ->
                gate.cancel(number.get(), message.getAttemptCancel().getAttempt(), now);
            case CACHE_RENEW -> renew(message.getCacheRenew(), now);
            case CACHE_RELEASE -> release(message.getCacheRelease(), now);
            default -> {}
        }
    }

    @Override
    public void onClose(PeerLink link) {
        links.remove(link).ifPresent(number -> gate.linkClosed(number, nowMillis()));
    }

    private boolean isBusy() {
        GateCounts counts = gate.counts();
        return counts.running() > 0 || counts.leaving();
    }

    void startTicks() {
        ticker.wake();
    }

    private void tick() {
        long now = nowMillis();
        gate.tick(now);
        health.tick(engine, gate.counts().running() > 0, now);
        orders.tick();
        reports.tick(gate.counts(), health.load(), health.isHealthy(now), now);
    }

    /** Refuses new attempts and says so to every entry at once. */
    void leave() {
        gate.leave();
        ticker.wake();
        reports.sendToAll(gate.counts(), health.load(), isHealthy(), nowMillis());
    }

    void cutAll() {
        gate.cutAll(nowMillis());
    }

    void close() {
        links.list().forEach(PeerLink::close);
        runs.close();
        engine.close();
        orders.close();
    }

    void desiredModels(long version, List<String> models, boolean engineChecksFencing) {
        if (settings.kind() == ServiceKind.ENGINE) {
            orders.desire(version, models, engineChecksFencing);
        }
    }

    RolloutStatus rollout() {
        return orders.status();
    }

    SidecarSettings settings() {
        return settings;
    }

    GateCounts counts() {
        return gate.counts();
    }

    EndpointLoad load() {
        return health.load();
    }

    boolean isHealthy() {
        return health.isHealthy(nowMillis());
    }

    int openCalls() {
        return runs.open();
    }

    List<PeerLink> links() {
        return links.list();
    }

    private void perform(GateOutput output) {
        if (output instanceof GateOutput.SendChunk chunk) {
            links.send(chunk.link(), AttemptMessages.chunk(chunk));
        } else if (output instanceof GateOutput.SendHead head) {
            links.send(head.link(), AttemptMessages.head(head));
        } else if (output instanceof GateOutput.SendEnd end) {
            links.send(end.link(), AttemptMessages.end(end));
        } else if (output instanceof GateOutput.StartRun start) {
            ticker.wake();
            runs.start(start);
        } else if (output instanceof GateOutput.ResumeRun resume) {
            runs.resume(resume);
        } else if (output instanceof GateOutput.StopRun stop) {
            runs.stop(stop.attempt());
        } else if (output instanceof GateOutput.FreeCache free) {
            engine.freeCache(free.program(), answered -> gate.cacheFreed(free.program(), answered, nowMillis()));
        } else if (output instanceof GateOutput.ListCache) {
            engine.heldPrograms(held -> held.ifPresent(programs -> gate.cacheListed(programs, nowMillis())));
        }
    }

    private void onEndpoint(EndpointEvent event) {
        if (settings.kind() == ServiceKind.PLAIN) {
            watchPlain(event);
        }
        gate.on(event, nowMillis());
    }

    private void watchPlain(EndpointEvent event) {
        if (event instanceof EndpointEvent.Head) {
            health.onPlainCall(true, nowMillis());
        } else if (event instanceof EndpointEvent.Failed) {
            health.onPlainCall(false, nowMillis());
        }
    }

    private void renew(CacheRenew renew, long now) {
        if (renew.isSetPrograms()) {
            gate.renewCache(renew.getShard(), renew.getEpoch(), renew.getPrograms(), renew.getLeaseMillis(), now);
        }
    }

    private void release(CacheRelease release, long now) {
        if (release.isSetProgram()) {
            gate.releaseCache(release.getShard(), release.getEpoch(), release.getProgram(), now);
        }
    }

    private static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }
}
