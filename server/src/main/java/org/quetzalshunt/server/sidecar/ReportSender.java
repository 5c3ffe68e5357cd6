package org.quetzalshunt.server.sidecar;

import org.quetzalshunt.core.attempt.GateStatistics;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.EndpointReport;
import org.quetzalshunt.wire.generated.Message;

/** Sends endpoint reports to entries: when a link opens, soon after a change, and periodically otherwise. */
final class ReportSender {
    /** Slots reported for a plain service, which states no limit; entries adapt their own limit below this one. */
    private static final int PLAIN_SLOTS = 64;

    /** An idle endpoint's figures do not change, and entries regard a report as current for ten seconds. */
    private static final long IDLE_REPORT_MILLIS = 1_000;

    private final SidecarSettings settings;
    private final LinkTable links;
    private ReportedState lastSent = new ReportedState(0, 0, false, false);
    private long lastSentMillis;

    private record ReportedState(int running, int waiting, boolean healthy, boolean leaving) {}

    ReportSender(SidecarSettings settings, LinkTable links) {
        this.settings = settings;
        this.links = links;
    }

    void tick(GateStatistics counts, EndpointLoad load, boolean healthy, long nowMillis) {
        long sinceMillis = nowMillis - lastSentMillis;
        ReportedState current = reportedState(counts, load, healthy);
        boolean idle = current.running() == 0 && current.waiting() == 0;
        boolean due =
                sinceMillis >= (idle ? IDLE_REPORT_MILLIS : settings.times().reportMillis());
        boolean changed = !current.equals(lastSent);
        if (due || (changed && sinceMillis >= settings.times().quickReportMillis())) {
            sendToAll(counts, load, healthy, nowMillis);
        }
    }

    void sendToAll(GateStatistics counts, EndpointLoad load, boolean healthy, long nowMillis) {
        lastSent = reportedState(counts, load, healthy);
        lastSentMillis = nowMillis;
        Message report = report(counts, load, healthy);
        for (PeerLink link : links.list()) {
            link.send(report);
        }
    }

    void sendTo(PeerLink link, GateStatistics counts, EndpointLoad load, boolean healthy) {
        link.send(report(counts, load, healthy));
    }

    private Message report(GateStatistics counts, EndpointLoad load, boolean healthy) {
        ReportedState state = reportedState(counts, load, healthy);
        return Message.endpointReport(new EndpointReport(
                settings.id().name(),
                settings.id().incarnation(),
                settings.service(),
                state.running(),
                state.waiting(),
                settings.kind() == ServiceKind.ENGINE ? load.slots() : PLAIN_SLOTS,
                load.cachedTokens(),
                load.cacheCapacityTokens(),
                load.tokensPerSecond(),
                counts.leaving(),
                healthy,
                counts.heldPrograms(),
                counts.freedPrograms()));
    }

    /**
     * The engine's figures lag behind, whereas the gate counts every attempt that it sent. Attempts that the engine
     * does not report yet are counted as running while slots are free, and as waiting beyond that.
     */
    private static ReportedState reportedState(GateStatistics counts, EndpointLoad load, boolean healthy) {
        int unreported = Math.max(0, counts.running() - load.running() - load.waiting());
        int freeSlots = load.slots() == 0 ? unreported : Math.max(0, load.slots() - load.running());
        int unreportedRunning = Math.min(unreported, freeSlots);
        return new ReportedState(
                load.running() + unreportedRunning,
                load.waiting() + unreported - unreportedRunning,
                healthy,
                counts.leaving());
    }
}
