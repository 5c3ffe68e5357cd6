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
        return new Route(
                name, host, prefix, RequestKind.IDEMPOTENT, 1, 1, 0, List.of(targets), 2, false, 0, false, Set.of());
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
}
