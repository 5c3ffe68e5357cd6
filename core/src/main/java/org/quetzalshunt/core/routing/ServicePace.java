package org.quetzalshunt.core.routing;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Medians of the speeds of a service's endpoints, which stand for endpoints without measurements, and the usual time of
 * requests without a prompt by route at the middle endpoint.
 */
final class ServicePace {
    /** The medians are computed again after this long; a speed moves little in that time. */
    private static final long REFRESH_MILLIS = 100;

    /** Guards against unbounded growth if routes are renamed again and again. */
    private static final int MAXIMUM_ROUTES = 64;

    private final Map<String, RunningMean> routeMillis = new LinkedHashMap<>();
    private long refreshedMillis = Long.MIN_VALUE / 2;
    private double millisPerToken;
    private double prefillMillisPerToken;
    private double relativeTime;

    void refresh(long nowMillis, Collection<EndpointRow> rows) {
        if (nowMillis - refreshedMillis < REFRESH_MILLIS) {
            return;
        }
        refreshedMillis = nowMillis;
        millisPerToken = median(rows, row -> row.paces.millisPerToken());
        prefillMillisPerToken = median(rows, row -> row.paces.prefillMillisPerToken());
        relativeTime = median(rows, row -> row.paces.relativeTime());
    }

    private static double median(Collection<EndpointRow> rows, ToDoubleFunction<EndpointRow> figure) {
        double[] known = rows.stream()
                .mapToDouble(figure)
                .filter(value -> value > 0)
                .sorted()
                .toArray();
        return known.length == 0 ? 0 : known[known.length / 2];
    }

    /** Median time per generated token; 0 if unknown. */
    double millisPerToken() {
        return millisPerToken;
    }

    /** Median prefill time per prompt token; 0 if unknown. */
    double prefillMillisPerToken() {
        return prefillMillisPerToken;
    }

    /** Median of the relative times; 0 if unknown. */
    double relativeTime() {
        return relativeTime;
    }

    double millisPerToken(EndpointRow row) {
        return orMiddle(row.paces.millisPerToken(), millisPerToken);
    }

    /** Time of a request without a prompt at an endpoint, relative to the middle endpoint; 1 if unknown. */
    double relativeTime(EndpointRow row) {
        double own = row.paces.relativeTime();
        return own > 0 && relativeTime > 0 ? own / relativeTime : 1;
    }

    /** Prefill time per token at an endpoint; without measurements it follows the time per generated token. */
    double prefillMillisPerToken(EndpointRow row, EngineSpeed speed) {
        if (row.paces.prefillMillisPerToken() > 0) {
            return row.paces.prefillMillisPerToken();
        }
        double middle = orMiddle(prefillMillisPerToken, speed.prefillMillis(1));
        double tokenTime = row.paces.millisPerToken();
        return tokenTime > 0 && millisPerToken > 0 ? middle * tokenTime / millisPerToken : middle;
    }

    /** Usual time of a request of a route at the middle endpoint; 0 if unknown. */
    double routeMillis(String route) {
        RunningMean mean = routeMillis.get(route);
        return mean == null ? 0 : mean.value();
    }

    /** Updates the usual time of a route with that of one request, less the speed of the endpoint that ran it. */
    void recordRouteTime(String route, double millis) {
        if (!routeMillis.containsKey(route) && routeMillis.size() >= MAXIMUM_ROUTES) {
            routeMillis.remove(routeMillis.keySet().iterator().next());
        }
        routeMillis.computeIfAbsent(route, ignored -> new RunningMean()).add(millis);
    }

    private static double orMiddle(double value, double middle) {
        return value > 0 ? value : middle;
    }
}
