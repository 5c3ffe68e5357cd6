package org.quetzalshunt.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;

/** Measured and reported speeds of endpoints: what is learnt, what is reported, and values that cannot be right. */
final class EndpointSpeedsTest {
    private static final int ENDPOINTS = 6;
    private static final RoutingOptions BY_SPEED = RoutingOptions.of(
            mechanism -> mechanism == Mechanism.SPEED_SAMPLING, "turns", Double.POSITIVE_INFINITY, "");

    private final EndpointTable table = table();

    private static EndpointTable table() {
        EndpointTable created = EndpointTable.create("a", 7, Policy.allEnabled());
        for (int number = 0; number < ENDPOINTS; number++) {
            created.register(0, registration("e" + number, 1));
        }
        return created;
    }

    private static Registration registration(String id, long startedMillis) {
        return new Registration(id, "llm", "10.0.0.1:80", "a", 6, false, 0, startedMillis);
    }

    private static RoutingRequest request(RoutingOptions options, List<PrefixPart> prompt) {
        return new RoutingRequest("llm", Set.of(), prompt, 90_000, EndpointLimits.inFlight(100), options);
    }

    private static void measure(EndpointTable measured, double slowness) {
        for (int number = 0; number < ENDPOINTS; number++) {
            for (int answer = 0; answer < 20; answer++) {
                long millis = Math.round(100 * (number == 0 ? slowness : 1));
                measured.recordGeneration("e" + number, 50, 100);
                measured.speeds().recordGeneration("e" + number, 50, millis);
                measured.speeds().recordFirstEvent("e" + number, 1_000, 1, millis / 5);
            }
        }
    }

    /** Guards against changed decisions in deployments that do not use load control. */
    @Test
    void measuredAndReportedSpeedsChangeNothingWhileTheMechanismIsOff() {
        EndpointTable other = table();
        measure(table, 10);
        measure(other, 1);
        other.speeds().onPeerReports(0, "vm-2", Map.of("e3", new EndpointPaceReport(20, 10, 5, 20)));
        for (int each = 0; each < 200; each++) {
            RoutingRequest request = request(RoutingOptions.OFF, List.of(new PrefixPart("part-" + each % 7, 900)));
            assertThat(table.select(each, request)).isEqualTo(other.select(each, request));
        }
    }

    /** Guards against a conversation that stays at a slow engine because its prompt is cached there. */
    @ParameterizedTest
    @ValueSource(doubles = {1, 10})
    void conversationLeavesASlowEngineIfPrefillElsewhereIsCheaper(double slowness) {
        measure(table, slowness);
        RoutingRequest request = request(BY_SPEED, List.of(new PrefixPart("own", 1_000)));
        table.recordPrompt("e0", request, 0);
        String selected = table.select(0, request).orElseThrow().registration().id();
        assertThat(selected.equals("e0")).isEqualTo(slowness == 1);
    }

    /** Guards against a gateway that learns a slow endpoint only by its own few requests. */
    @Test
    void speedsReportedByPeersAreUsed() {
        Map<String, EndpointPaceReport> reports = Map.of(
                "e0", new EndpointPaceReport(20, 0, 0, 20),
                "e1", new EndpointPaceReport(2, 0, 0, 20),
                "e2", new EndpointPaceReport(2, 0, 0, 20));
        table.speeds().onPeerReports(0, "vm-2", reports);
        table.speeds().onPeerReports(0, "vm-2", reports);
        assertThat(table.speeds().find("e0").orElseThrow().millisPerToken()).isEqualTo(20);
        int atSlow = 0;
        for (int each = 0; each < 200; each++) {
            Selection selected = table.select(each, request(BY_SPEED, List.of(new PrefixPart("part-" + each, 1))))
                    .orElseThrow();
            atSlow += selected.registration().id().equals("e0") ? 1 : 0;
        }
        assertThat(atSlow).isLessThan(200 / ENDPOINTS / 2);
        table.removePeer("vm-2");
        assertThat(table.speeds().knownCount()).isEqualTo(0);
    }

    /** Guards against a faulty peer whose figures make an endpoint attract or repel all requests. */
    @ParameterizedTest
    @ValueSource(doubles = {Double.NaN, Double.POSITIVE_INFINITY, -1, 1e9, 1e-9})
    void absurdFiguresOfPeersAreBoundedAndCounted(double value) {
        measure(table, 1);
        table.speeds().service(1_000, "llm");
        table.speeds()
                .onPeerReports(2_000, "vm-2", Map.of("e0", new EndpointPaceReport(value, value, value, 1_000_000)));
        EndpointPaceReport found = table.speeds().find("e0").orElseThrow();
        assertThat(found.millisPerToken()).isGreaterThan(0.9);
        assertThat(found.millisPerToken()).isLessThan(12.0);
        assertThat(table.speeds().boundedReports()).isEqualTo(3);
    }

    /** Guards against messages that repeat known speeds or grow with the number of endpoints. */
    @Test
    void onlyChangesAreReportedAndTheirNumberHasABound() {
        measure(table, 1);
        assertThat(table.speeds().takeChanged(4)).hasSize(4);
        assertThat(table.speeds().takeChanged(4)).hasSize(2);
        assertThat(table.speeds().takeChanged(4)).isEmpty();
        table.speeds().recordGeneration("e0", 50, 500);
        assertThat(table.speeds().takeChanged(4).keySet()).containsExactly("e0");
    }

    /** Guards against the speed of a former process at an address where a new one runs. */
    @Test
    void restartedEndpointBeginsAtTheMiddleOfItsService() {
        measure(table, 10);
        table.register(0, registration("e0", 2));
        assertThat(table.speeds().find("e0").orElseThrow().millisPerToken()).isEqualTo(0);
        long atRestarted = 0;
        for (int each = 0; each < 300; each++) {
            Selection selected = table.select(each, request(BY_SPEED, List.of(new PrefixPart("part-" + each, 1))))
                    .orElseThrow();
            atRestarted += selected.registration().id().equals("e0") ? 1 : 0;
        }
        assertThat(atRestarted).isGreaterThan(300L / ENDPOINTS / 2);
    }

    /** Guards against a relative time that depends on which routes an endpoint happens to serve. */
    @Test
    void plainRequestsOfDifferentRoutesGiveOneRelativeTime() {
        for (int each = 0; each < 400; each++) {
            String id = "e" + each % ENDPOINTS;
            boolean slow = id.equals("e0");
            table.speeds().recordPlain(each * 10L, id, "short", slow ? 60 : 20);
            table.speeds().recordPlain(each * 10L, id, "long", slow ? 600 : 200);
        }
        double relative = table.speeds().find("e0").orElseThrow().relativeTime()
                / table.speeds().find("e1").orElseThrow().relativeTime();
        assertThat(relative).isWithin(0.5).of(3);
    }
}
