package org.quetzalshunt.core.route;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class RouteTableTest {
    private static Route route(String name, String host, String prefix, RouteTarget... targets) {
        return route(name, host, prefix, RequestKind.IDEMPOTENT, 2, targets);
    }

    private static Route route(
            String name, String host, String prefix, RequestKind kind, int maximumAttempts, RouteTarget... targets) {
        return new Route(
                name,
                host,
                prefix,
                kind,
                1,
                1,
                0,
                List.of(targets),
                maximumAttempts,
                false,
                0,
                false,
                Set.of(),
                false,
                1);
    }

    private final RouteTable table = RouteTable.of(List.of(
            route("short", "h", "/a/"),
            route("long", "h", "/a/b/"),
            route("other", "i", "/a/"),
            route("all", "i", "/")));

    // Columns: host, path, name of the expected route; no name if no route matches.
    @ParameterizedTest
    @CsvSource({
        "h,/a/x,short",
        "h,/a/b/x,long",
        "h,/a/b,short",
        "i,/a/b/x,other",
        "i,/z,all",
        "h,/z,",
        "j,/a/x,",
        "h,/a,"
    })
    void routeWithTheLongestPrefixOfTheHostIsFound(String host, String path, String expected) {
        assertThat(table.find(host, path).map(Route::name).orElse(null)).isEqualTo(expected);
    }

    @Test
    void requestsAreDistributedByTargetWeight() {
        Route route = route("w", "h", "/", new RouteTarget("x", 90), new RouteTarget("y", 10), new RouteTarget("z", 0));
        Map<String, Integer> counts = new HashMap<>();
        for (long hash = -500; hash < 500; hash++) {
            counts.merge(route.serviceFor(hash), 1, Integer::sum);
        }
        assertThat(counts).containsExactly("x", 900, "y", 100);
    }

    @ParameterizedTest
    @CsvSource({"STREAM,1,true", "STREAM,2,false", "IDEMPOTENT,1,false", "NON_IDEMPOTENT,1,false"})
    void streamsWithOneAttemptAreFound(RequestKind kind, int maximumAttempts, boolean expected) {
        RouteTable routes = RouteTable.of(List.of(
                route("plain", "h", "/a/", RequestKind.IDEMPOTENT, 2),
                route("chat", "h", "/b/", kind, maximumAttempts)));
        assertThat(routes.hasSingleAttemptStreams()).isEqualTo(expected);
    }
}
