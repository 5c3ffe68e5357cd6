package org.quetzalshunt.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request by its host and the longest matching path prefix. */
public final class RouteTable {
    private final Map<String, List<Route>> byHost;
    private final int size;
    private final boolean singleAttemptStreams;

    private RouteTable(Map<String, List<Route>> byHost, int size, boolean singleAttemptStreams) {
        this.byHost = byHost;
        this.size = size;
        this.singleAttemptStreams = singleAttemptStreams;
    }

    /** Creates a table of the given routes. */
    public static RouteTable of(List<Route> routes) {
        Map<String, List<Route>> byHost = new HashMap<>();
        routes.forEach(route -> byHost.computeIfAbsent(route.host(), ignored -> new ArrayList<>())
                .add(route));
        byHost.values()
                .forEach(list -> list.sort(Comparator.comparingInt(
                        (Route route) -> -route.pathPrefix().length())));
        return new RouteTable(byHost, routes.size(), routes.stream().anyMatch(Route::isSingleAttemptStream));
    }

    /** Finds the route of a request; empty if none matches. */
    public Optional<Route> find(String host, String path) {
        for (Route route : byHost.getOrDefault(host, List.of())) {
            if (path.startsWith(route.pathPrefix())) {
                return Optional.of(route);
            }
        }
        return Optional.empty();
    }

    /** Whether some route has streams that may be sent to one endpoint only. */
    public boolean hasSingleAttemptStreams() {
        return singleAttemptStreams;
    }

    /** Number of routes. */
    public int size() {
        return size;
    }
}
