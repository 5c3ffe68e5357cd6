package org.quetzalshunt.server.sidecar;

import io.netty.channel.EventLoopGroup;
import java.util.List;
import java.util.Optional;
import org.quetzalshunt.core.attempt.EndpointEvent;
import org.quetzalshunt.core.attempt.EndpointGate;
import org.quetzalshunt.core.attempt.GateOutput;
import org.quetzalshunt.core.attempt.GateStatistics;
import org.quetzalshunt.core.attempt.RolloutStatus;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.vm.VmRole;
import org.quetzalshunt.server.transport.LinkListener;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.CacheRelease;
import org.quetzalshunt.wire.generated.CacheRenew;
import org.quetzalshunt.wire.generated.Message;

/**
 * Connects links, gate and endpoint: passes messages and endpoint events to the gate, and performs its outputs. Used on
 * the event loop only.
 */
final class Sidecar implements LinkListener {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final SidecarSettings settings;
    private final EndpointGate gate;
    private final AttemptExecutor attempts;
    private final EngineClient engine;
    private final EndpointHealth health;
    private final ModelRolloutExecutor modelRollout;
    private final LinkTable links = new LinkTable();
    private final ReportSender reports;
    private final Ticker ticker;

    private Sidecar(EventLoopGroup group, SidecarSettings settings) {
        this.settings = settings;
        this.gate = EndpointGate.create(settings.gateSettings(), this::perform, nowMillis());
        this.attempts = AttemptExecutor.create(group, settings, this::onEndpointEvent);
        this.engine = EngineClient.create(group, settings);
        this.modelRollout = ModelRolloutExecutor.create(group, settings, Sidecar::nowMillis);
        this.health = new EndpointHealth(settings.kind(), settings.times(), modelRollout::onLoad);
        this.reports = new ReportSender(settings, links);
        this.ticker = Ticker.create(group.next(), this::tick, this::isBusy);
    }

    static Sidecar create(EventLoopGroup group, SidecarSettings settings) {
        return new Sidecar(group, settings);
    }

    @Override
    public void onOpen(PeerLink link) {
        if (link.remote().role() != VmRole.ENTRY || !links.recordIncarnation(link)) {
            link.close();
            return;
        }
        links.listSuperseded(link).forEach(PeerLink::close);
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
            case CACHE_RENEW -> renewCache(message.getCacheRenew(), now);
            case CACHE_RELEASE -> releaseCache(message.getCacheRelease(), now);
            default -> {}
        }
    }

    @Override
    public void onClose(PeerLink link) {
        links.remove(link).ifPresent(number -> gate.linkClosed(number, nowMillis()));
    }

    private boolean isBusy() {
        GateStatistics counts = gate.counts();
        return counts.running() > 0 || counts.leaving();
    }

    void startTicks() {
        ticker.wake();
    }

    private void tick() {
        long now = nowMillis();
        gate.tick(now);
        health.tick(engine, gate.counts().running() > 0, now);
        modelRollout.tick();
        reports.tick(gate.counts(), health.load(), health.isHealthy(now), now);
    }

    /** Refuses new attempts and reports this to every entry at once. */
    void startDraining() {
        gate.startDraining();
        ticker.wake();
        reports.sendToAll(gate.counts(), health.load(), isHealthy(), nowMillis());
    }

    void cutAll() {
        gate.abortAll(nowMillis());
    }

    void close() {
        links.list().forEach(PeerLink::close);
        attempts.close();
    }

    void setDesiredModels(long version, List<String> models, boolean engineChecksFencing) {
        if (settings.kind() == ServiceKind.ENGINE) {
            modelRollout.setTarget(version, models, engineChecksFencing);
        }
    }

    RolloutStatus rolloutStatus() {
        return modelRollout.status();
    }

    SidecarSettings settings() {
        return settings;
    }

    GateStatistics counts() {
        return gate.counts();
    }

    EndpointLoad load() {
        return health.load();
    }

    boolean isHealthy() {
        return health.isHealthy(nowMillis());
    }

    int openCalls() {
        return attempts.open();
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
            attempts.start(start);
        } else if (output instanceof GateOutput.ResumeRun resume) {
            attempts.resume(resume);
        } else if (output instanceof GateOutput.StopRun stop) {
            attempts.stop(stop.attempt());
        } else if (output instanceof GateOutput.FreeCache free) {
            engine.freeCache(free.program(), freed -> gate.cacheFreed(free.program(), freed, nowMillis()));
        } else if (output instanceof GateOutput.ListCache) {
            engine.listHeldPrograms(held -> held.ifPresent(programs -> gate.cacheListed(programs, nowMillis())));
        }
    }

    private void onEndpointEvent(EndpointEvent event) {
        if (settings.kind() == ServiceKind.PLAIN) {
            updatePlainHealth(event);
        }
        gate.onEndpointEvent(event, nowMillis());
    }

    private void updatePlainHealth(EndpointEvent event) {
        if (event instanceof EndpointEvent.Head) {
            health.onPlainCall(true, nowMillis());
        } else if (event instanceof EndpointEvent.ResponseFailed) {
            health.onPlainCall(false, nowMillis());
        }
    }

    private void renewCache(CacheRenew renew, long now) {
        if (renew.isSetPrograms()) {
            gate.renewCache(renew.getShard(), renew.getEpoch(), renew.getPrograms(), renew.getLeaseMillis(), now);
        }
    }

    private void releaseCache(CacheRelease release, long now) {
        if (release.isSetProgram()) {
            gate.releaseCache(release.getShard(), release.getEpoch(), release.getProgram(), now);
        }
    }

    private static long nowMillis() {
        return System.nanoTime() / NANOS_PER_MILLI;
    }
}
