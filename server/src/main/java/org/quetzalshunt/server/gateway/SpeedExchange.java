package org.quetzalshunt.server.gateway;

import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Random;
import java.util.function.BooleanSupplier;
import org.quetzalshunt.core.routing.EndpointPaceReport;
import org.quetzalshunt.core.routing.EndpointSpeeds;
import org.quetzalshunt.wire.generated.EndpointLoads;
import org.quetzalshunt.wire.generated.EndpointPace;

/**
 * Exchanges the measured speeds of endpoints with peers. Changes go to all peers; a new peer also gets a random part of
 * all speeds, which together with the parts of the other peers covers most endpoints.
 */
final class SpeedExchange {
    /** Maximum number of speeds in one message, in both directions. */
    static final int MAXIMUM_PER_MESSAGE = 16;

    /** Speeds that a new peer gets from all its peers together, if each of them sends a full message. */
    private static final int FIRST_SPEEDS = 512;

    private final EndpointSpeeds speeds;
    private final NodeClock clock;
    private final BooleanSupplier enabled;
    private final Random random = new Random();
    private long changesSentMillis = Long.MIN_VALUE / 2;

    /**
     * @param enabled whether speeds are exchanged
     */
    SpeedExchange(EndpointSpeeds speeds, NodeClock clock, BooleanSupplier enabled) {
        this.speeds = speeds;
        this.clock = clock;
        this.enabled = enabled;
    }

    /** Returns the speeds that changed since the last round; none before the next round is due. */
    Map<String, EndpointPace> takeChanges(int peers) {
        long now = clock.now();
        if (!enabled.getAsBoolean() || now - changesSentMillis < EndpointSpeeds.reportIntervalMillis(peers)) {
            return Map.of();
        }
        Map<String, EndpointPace> changes = toWire(speeds.takeChanged(MAXIMUM_PER_MESSAGE));
        changesSentMillis = changes.isEmpty() ? changesSentMillis : now;
        return changes;
    }

    /** Returns the speeds that a peer with a new link gets at first, in random order. */
    Map<String, EndpointPace> forNewPeer(int peers) {
        if (!enabled.getAsBoolean()) {
            return Map.of();
        }
        int part = Math.max(MAXIMUM_PER_MESSAGE, FIRST_SPEEDS / Math.max(1, peers));
        return toWire(speeds.sample(part, list -> Collections.shuffle(list, random)));
    }

    private static Map<String, EndpointPace> toWire(Map<String, EndpointPaceReport> reports) {
        Map<String, EndpointPace> paces = new LinkedHashMap<>();
        reports.forEach((id, report) -> paces.put(
                id,
                new EndpointPace(
                        report.millisPerToken(),
                        report.prefillTokensPerMilli(),
                        report.relativeTime(),
                        report.samples())));
        return paces;
    }

    /** Records the speeds in a message of a peer. */
    void onLoads(String vm, EndpointLoads loads) {
        if (!loads.isSetPaces() || !enabled.getAsBoolean()) {
            return;
        }
        Map<String, EndpointPaceReport> reports = new HashMap<>();
        loads.getPaces().entrySet().stream()
                .filter(each -> each.getKey() != null && each.getValue() != null)
                .limit(MAXIMUM_PER_MESSAGE)
                .forEach(each -> reports.put(each.getKey(), fromWire(each.getValue())));
        speeds.onPeerReports(clock.now(), vm, reports);
    }

    private static EndpointPaceReport fromWire(EndpointPace pace) {
        return new EndpointPaceReport(
                pace.getMillisPerToken(), pace.getPrefillTokensPerMilli(), pace.getRelativeTime(), pace.getSamples());
    }
}
