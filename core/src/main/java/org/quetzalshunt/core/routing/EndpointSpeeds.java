package org.quetzalshunt.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Measures the speeds of endpoints without their queues, and exchanges them with peers.
 *
 * <p>Load pattern: engines of unequal speed behind many VMs. Each VM sees an endpoint too rarely to learn its speed in
 * time, so the VMs report their measurements to each other.
 */
public final class EndpointSpeeds {
    /** Added latency per running request, as in {@link EndpointCost}; measurements are divided by it. */
    private static final double SLOWDOWN_PER_REQUEST = 0.03;

    /** With fewer tokens to prefill, the network and the first step outweigh the prefill. */
    private static final long MINIMUM_PREFILL_TOKENS = 256;

    /** A reported figure is bounded to this many times the median of the service, and to its inverse. */
    private static final double MAXIMUM_RATIO = 10;

    private static final int MAXIMUM_REPORTED_SAMPLES = RunningMean.MAXIMUM_SAMPLES;

    /** Minimum time between two reports; an endpoint gets about one request per second from each VM. */
    private static final long MINIMUM_INTERVAL_MILLIS = 1_000;

    /**
     * Each peer adds this much to the time between two reports, so that the bytes sent per second have a bound that
     * does not grow with the number of peers.
     */
    private static final long INTERVAL_MILLIS_PER_PEER = 31;

    private final EndpointRows rows;
    private final Map<String, ServicePace> services = new HashMap<>();
    private long boundedReports;

    EndpointSpeeds(EndpointRows rows) {
        this.rows = rows;
    }

    /** Returns the minimum time between two reports of this VM to all its peers. */
    public static long reportIntervalMillis(int peers) {
        return Math.max(MINIMUM_INTERVAL_MILLIS, INTERVAL_MILLIS_PER_PEER * peers);
    }

    /** Speeds of a service, refreshed if they are due. */
    ServicePace service(long nowMillis, String service) {
        ServicePace pace = pace(service);
        pace.refresh(nowMillis, rows.open(service));
        return pace;
    }

    /** Prefill time per token at an endpoint, or at the middle of its service; 0 if unknown. */
    double prefillMillisPerToken(EndpointRow row) {
        double own = row.paces.prefillMillisPerToken();
        return own > 0 ? own : pace(row.registration.service()).prefillMillisPerToken();
    }

    private ServicePace pace(String service) {
        return services.computeIfAbsent(service, ignored -> new ServicePace());
    }

    /**
     * Records that an endpoint sent the first event of an answer. Only an endpoint with at most half of its slots in
     * use is measured, because the time includes the wait for a slot.
     *
     * @param uncachedTokens tokens of the prompt that the endpoint had to prefill
     * @param tokensPerEvent tokens that the first event holds
     * @param tookMillis time since the request was sent
     */
    public void recordFirstEvent(String id, long uncachedTokens, int tokensPerEvent, long tookMillis) {
        if (uncachedTokens < MINIMUM_PREFILL_TOKENS) {
            return;
        }
        rows.find(id).filter(row -> 2 * row.load() <= row.slots()).ifPresent(row -> {
            double stepMillis = tokensPerEvent * row.paces.millisPerToken();
            double prefillMillis = Math.max(1, tookMillis - stepMillis);
            row.paces.recordPrefillTime(prefillMillis / uncachedTokens);
        });
    }

    /**
     * Records that an endpoint generated a complete answer.
     *
     * @param tokensAfterFirst tokens generated after the first event
     * @param tookMillis time since the first event
     */
    public void recordGeneration(String id, long tokensAfterFirst, long tookMillis) {
        if (tokensAfterFirst <= 0) {
            return;
        }
        double millisPerToken = Math.max(1, tookMillis) / (double) tokensAfterFirst;
        rows.find(id).ifPresent(row -> row.paces.recordTokenTime(millisPerToken / slowdown(row)));
    }

    /**
     * Records the time of a request without a prompt. An endpoint with more requests than slots is not measured,
     * because the time includes the wait for a slot.
     */
    public void recordPlain(long nowMillis, String id, String route, long tookMillis) {
        rows.find(id).filter(row -> row.load() <= row.slots()).ifPresent(row -> {
            ServicePace pace = service(nowMillis, row.registration.service());
            double millis = Math.max(1, tookMillis) / slowdown(row);
            double usualMillis = pace.routeMillis(route);
            pace.recordRouteTime(route, millis / pace.relativeTime(row));
            row.paces.recordRelativeTime(usualMillis > 0 ? millis / usualMillis : 1);
        });
    }

    private static double slowdown(EndpointRow row) {
        return 1 + SLOWDOWN_PER_REQUEST * Math.min(row.load(), row.slots());
    }

    /**
     * Returns the measurements of this VM that changed since they were returned last, those with the largest change
     * first.
     *
     * @param maximum maximum number of endpoints
     */
    public Map<String, EndpointPaceReport> takeChanged(int maximum) {
        Map<EndpointRow, Double> changes = new HashMap<>();
        for (EndpointRow row : rows.all()) {
            double change = row.paces.changeSinceReport();
            if (change > 0) {
                changes.put(row, change);
            }
        }
        List<EndpointRow> largest = changes.entrySet().stream()
                .sorted(Map.Entry.comparingByValue(Comparator.reverseOrder()))
                .limit(maximum)
                .map(Map.Entry::getKey)
                .toList();
        Map<String, EndpointPaceReport> reports = new LinkedHashMap<>();
        largest.forEach(row -> reports.put(row.registration.id(), row.paces.report()));
        return reports;
    }

    /**
     * Returns this VM's measurements of some endpoints.
     *
     * @param order brings the endpoints into the order in which they are taken
     */
    public Map<String, EndpointPaceReport> sample(int maximum, Consumer<List<String>> order) {
        List<String> measured = new ArrayList<>();
        for (EndpointRow row : rows.all()) {
            if (row.paces.own().samples() > 0) {
                measured.add(row.registration.id());
            }
        }
        order.accept(measured);
        Map<String, EndpointPaceReport> reports = new LinkedHashMap<>();
        measured.stream().limit(maximum).forEach(id -> rows.find(id)
                .ifPresent(row -> reports.put(id, row.paces.own())));
        return reports;
    }

    /** Records the measurements that a peer reported. Figures that cannot be right are bounded and counted. */
    public void onPeerReports(long nowMillis, String vm, Map<String, EndpointPaceReport> reports) {
        reports.forEach(
                (id, report) -> rows.find(id).ifPresent(row -> row.paces.setPeer(vm, bounded(nowMillis, row, report))));
    }

    private EndpointPaceReport bounded(long nowMillis, EndpointRow row, EndpointPaceReport report) {
        ServicePace pace = service(nowMillis, row.registration.service());
        return new EndpointPaceReport(
                bounded(report.millisPerToken(), pace.millisPerToken()),
                bounded(report.prefillTokensPerMilli(), inverse(pace.prefillMillisPerToken())),
                bounded(report.relativeTime(), pace.relativeTime() > 0 ? pace.relativeTime() : 1),
                Math.min(MAXIMUM_REPORTED_SAMPLES, Math.max(0, report.samples())));
    }

    private double bounded(double value, double middle) {
        if (!Double.isFinite(value) || value < 0) {
            boundedReports++;
            return 0;
        }
        if (value == 0 || middle == 0) {
            return value;
        }
        double result = Math.min(MAXIMUM_RATIO * middle, Math.max(middle / MAXIMUM_RATIO, value));
        boundedReports += result == value ? 0 : 1;
        return result;
    }

    private static double inverse(double value) {
        return value > 0 ? 1 / value : 0;
    }

    /** Removes the reports of a peer that is dead or unreachable. */
    void removePeer(String vm) {
        rows.all().forEach(row -> row.paces.removePeer(vm));
    }

    /** Number of endpoints whose speed this VM or a peer has measured. */
    public long knownCount() {
        return rows.all().stream()
                .filter(row -> row.paces.millisPerToken() > 0 || row.paces.relativeTime() > 0)
                .count();
    }

    /** Number of figures reported by peers that were bounded or ignored. */
    public long boundedReports() {
        return boundedReports;
    }

    /** Speed of an endpoint by the measurements of this VM and its peers, for operators; 0 for an unknown figure. */
    public Optional<EndpointPaceReport> find(String id) {
        return rows.find(id)
                .map(row -> new EndpointPaceReport(
                        row.paces.millisPerToken(),
                        inverse(row.paces.prefillMillisPerToken()),
                        row.paces.relativeTime(),
                        row.paces.own().samples()));
    }
}
