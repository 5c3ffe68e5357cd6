package org.quetzalshunt.server.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalshunt.core.route.AccountConfiguration;
import org.quetzalshunt.core.route.RequestKind;
import org.quetzalshunt.core.route.Route;
import org.quetzalshunt.core.route.RouteTarget;
import org.quetzalshunt.core.route.ServiceConfiguration;

/** Data centres of three regions in which a request may run, by the regions that its route and its account allow. */
final class HomeDataCentresTest {
    private static final Map<String, String> REGIONS =
            Map.of("n-1", "north", "n-2", "north", "s-1", "south", "e-1", "east");

    private static AdmittedRequest request(Set<String> routeRegions, Set<String> accountRegions) {
        Route route = new Route(
                "chat",
                "host",
                "/",
                RequestKind.STREAM,
                3_000,
                200,
                0,
                List.of(new RouteTarget("llm", 1)),
                2,
                true,
                60_000,
                false,
                routeRegions,
                false,
                200);
        CallerRequest request = new CallerRequest(
                "q",
                "host",
                "/",
                Optional.empty(),
                OptionalLong.empty(),
                OptionalLong.empty(),
                Optional.empty(),
                Optional.empty(),
                Optional.empty(),
                OptionalLong.empty(),
                OptionalLong.empty(),
                List.of(),
                OptionalLong.empty(),
                OptionalLong.empty(),
                OptionalLong.empty());
        ServiceConfiguration service = new ServiceConfiguration("llm", 100, 0, Optional.empty());
        Optional<AccountConfiguration> account =
                Optional.of(new AccountConfiguration("arusha", 0, 0, 0, accountRegions));
        RequestTimeline timeline = new RequestTimeline(new NodeClock(() -> {}), 0);
        return new AdmittedRequest(null, request, route, service, account, 1, 0, 3_000, timeline, false);
    }

    static List<Arguments> homes() {
        return List.of(
                Arguments.of(Set.of("north"), Set.of(), Set.of("n-1", "n-2")),
                Arguments.of(Set.of(), Set.of("south", "east"), Set.of("s-1", "e-1")),
                Arguments.of(Set.of("north", "south"), Set.of("south", "east"), Set.of("s-1")),
                Arguments.of(Set.of("north"), Set.of("south"), Set.of()),
                Arguments.of(Set.of("a region without data centres"), Set.of(), Set.of()));
    }

    @ParameterizedTest
    @MethodSource("homes")
    void requestRunsOnlyWhereBothRouteAndAccountAllow(
            Set<String> routeRegions, Set<String> accountRegions, Set<String> dataCentres) {
        assertThat(request(routeRegions, accountRegions).homeDataCentres(REGIONS))
                .isEqualTo(Optional.of(dataCentres));
    }

    @Test
    void requestWithoutRegionsMayRunAnywhere() {
        assertThat(request(Set.of(), Set.of()).homeDataCentres(REGIONS)).isEmpty();
    }
}
