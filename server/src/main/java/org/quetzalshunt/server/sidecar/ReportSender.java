package org.quetzalshunt.server.sidecar;

import org.quetzalshunt.core.attempt.GateCounts;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.EndpointReport;
import org.quetzalshunt.wire.generated.Message;

/** Tells entries how the endpoint stands: at once when a link opens, soon when something changed, else now and then. */
final class ReportSender {
    /** A plain service names no limit; entries adapt theirs below this one. */
    private static final int PLAIN_SLOTS = 64;

    /** An idle endpoint's figures do not change, and entries trust a report for ten seconds. */
    private static final long IDLE_REPORT_MILLIS = 1_000;

    private final SidecarSettings settings;
    private final LinkTable links;
    private Standing lastSent = new Standing(0, 0, false, false);
    private long lastSentMillis;

    private record Standing(int running, int waiting, boolean healthy, boolean leaving) {}

    ReportSender(SidecarSettings settings, LinkTable links) {
        this.settings = settings;
        this.links = links;
    }

    void tick(GateCounts counts, EndpointLoad load, boolean healthy, long nowMillis) {
        long sinceMillis = nowMillis - lastSentMillis;
        Standing present = standing(counts, load, healthy);
        boolean idle = present.running() == 0 && present.waiting() == 0;
        boolean due =
                sinceMillis >= (idle ? IDLE_REPORT_MILLIS : settings.times().reportMillis());
        boolean changed = !present.equals(lastSent);
        if (due || (changed && sinceMillis >= settings.times().quickReportMillis())) {
            sendToAll(counts, load, healthy, nowMillis);
        }
    }

    void sendToAll(GateCounts counts, EndpointLoad load, boolean healthy, long nowMillis) {
        lastSent = standing(counts, load, healthy);
        lastSentMillis = nowMillis;
        Message report = report(counts, load, healthy);
        for (PeerLink link : links.list()) {
            link.send(report);
        }
    }

    void sendTo(PeerLink link, GateCounts counts, EndpointLoad load, boolean healthy) {
        link.send(report(counts, load, healthy));
    }

    private Message report(GateCounts counts, EndpointLoad load, boolean healthy) {
        Standing standing = standing(counts, load, healthy);
        return Message.endpointReport(new EndpointReport(
                settings.id().name(),
                settings.id().incarnation(),
                settings.service(),
                standing.running(),
                standing.waiting(),
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
     * The engine's own figures lag; this process, its only gate, knows at once what it sent there. Where more runs
     * here than the engine says, the difference runs in free slots first and waits behind them.
     */
    private static Standing standing(GateCounts counts, EndpointLoad load, boolean healthy) {
        int unseen = Math.max(0, counts.running() - load.running() - load.waiting());
        int freeSlots = load.slots() == 0 ? unseen : Math.max(0, load.slots() - load.running());
        int startable = Math.min(unseen, freeSlots);
        return new Standing(load.running() + startable, load.waiting() + unseen - startable, healthy, counts.leaving());
    }
}
