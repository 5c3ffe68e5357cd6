package org.quetzalshunt.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;

/**
 * Endpoint selection by cost: in a burst, with a slow, a full or a failing endpoint among healthy ones, and with cached
 * prompts.
 */
final class EndpointTableTest {
    /** Compares all endpoints, so that the choice depends on costs alone. */
    private static final Policy ALL_COMPARED = Policy.without(Set.of(Mechanism.TWO_CHOICES));

    private final EndpointTable table = EndpointTable.create("a", 7, ALL_COMPARED);

    @BeforeEach
    void register() {
        for (int number = 0; number < 4; number++) {
            table.register(0, registration(number, false, 1));
        }
    }

    private static Registration registration(int number, boolean leaving, long born) {
        return new Registration("e" + number, "llm", "10.0.0." + number + ":80", "a", 8, leaving, 0, born);
    }

    private static RoutingRequest routingRequest() {
        return RoutingRequest.plain("llm", Set.of(), EndpointLimits.inFlight(100));
    }

    private Availability availability() {
        return table.availability("llm", EndpointLimits.inFlight(100));
    }

    private String select(long now) {
        return select(now, routingRequest());
    }

    private String select(long now, RoutingRequest request) {
        return table.select(now, request).orElseThrow().registration().id();
    }

    @Test
    void burstFillsAllEndpointsBeforeAnyQueues() {
        Map<String, Integer> requestsByEndpoint = new HashMap<>();
        for (int request = 0; request < 32; request++) {
            String id = select(0);
            table.started(id);
            requestsByEndpoint.merge(id, 1, Integer::sum);
        }
        assertThat(requestsByEndpoint.values()).containsExactly(8, 8, 8, 8);
    }

    @Test
    void loadOfOtherVmsIsCounted() {
        table.onPeerRunning("vm-2", Map.of("e0", 8, "e1", 8, "e2", 8));
        assertThat(select(0)).isEqualTo("e3");
        table.onPeerRunning("vm-2", Map.of("e3", 8, "e1", 8, "e2", 8));
        assertThat(select(0)).isEqualTo("e0");
        table.removePeer("vm-2");
        table.onPeerRunning("vm-3", Map.of("e0", 8, "e3", 8, "e2", 8));
        assertThat(select(0)).isEqualTo("e1");
    }

    @Test
    void slowEndpointGetsLessOfTheWork() {
        for (int answer = 0; answer < 40; answer++) {
            table.started("e0");
            table.finished(answer, "e0", AttemptOutcome.ANSWERED, 600);
        }
        for (int request = 0; request < 12; request++) {
            String id = select(100);
            assertThat(id).isNotEqualTo("e0");
            table.started(id);
        }
    }

    /**
     * Guards against an endpoint that refuses connections and looks idle: without a penalty it would attract every
     * request of a burst.
     */
    @Test
    void unreachableEndpointIsEjectedAndRetriedLater() {
        table.started("e0");
        table.finished(1_000, "e0", AttemptOutcome.FAILED, 1);
        for (int request = 0; request < 24; request++) {
            String id = select(1_100);
            assertThat(id).isNotEqualTo("e0");
            table.started(id);
        }
        assertThat(select(1_400)).isEqualTo("e0");
    }

    @Test
    void failingEndpointsAreUsedIfThereAreNoOthers() {
        for (int number = 0; number < 4; number++) {
            table.started("e" + number);
            table.finished(0, "e" + number, AttemptOutcome.FAILED, 1);
        }
        assertThat(table.select(10, routingRequest())).isPresent();
    }

    @Test
    void fullEndpointIsPassedOverWhileOthersHaveRoom() {
        table.started("e0");
        table.finished(0, "e0", AttemptOutcome.FULL, 1);
        for (int request = 0; request < 6; request++) {
            assertThat(select(10)).isNotEqualTo("e0");
        }
    }

    @Test
    void cachedPromptAttractsWorkUntilQueueingCostsMore() {
        RoutingRequest request = new RoutingRequest(
                "llm", Set.of(), List.of(new PrefixPart("own", 1_200)), 90_000, EndpointLimits.inFlight(100));
        table.recordPrompt("e2", request, 1_200);
        assertThat(select(0, request)).isEqualTo("e2");
        for (int started = 0; started < 12; started++) {
            table.started("e2");
        }
        assertThat(select(0, request)).isNotEqualTo("e2");
    }

    @Test
    void endpointThatShutsDownGetsNoWork() {
        table.register(0, registration(0, true, 1));
        for (int request = 0; request < 30; request++) {
            assertThat(select(request)).isNotEqualTo("e0");
        }
        for (int number = 1; number < 4; number++) {
            assertThat(availability()).isEqualTo(Availability.AVAILABLE);
            table.register(0, registration(number, true, 1));
        }
        assertThat(availability()).isEqualTo(Availability.NONE);
    }

    @Test
    void restartUnderTheSameIdClearsFailures() {
        table.started("e0");
        table.finished(0, "e0", AttemptOutcome.FAILED, 1);
        table.register(0, registration(0, false, 2));
        table.onPeerRunning("vm-2", Map.of("e1", 9, "e2", 9, "e3", 9));
        assertThat(select(10)).isEqualTo("e0");
    }

    /**
     * Guards against the removal of a live endpoint after an outage of the store, in which its registration expired and
     * was renewed.
     */
    @Test
    void scheduledRemovalIsCancelledByARegistration() {
        table.scheduleRemoval("e0", 2_000);
        table.scheduleRemoval("e1", 2_000);
        table.register(0, registration(0, false, 1));
        table.removeDue(2_000);
        assertThat(table.find("e0")).isPresent();
        assertThat(table.find("e1")).isEmpty();
    }

    /**
     * Guards against an endpoint that answers 45 of 100 requests with an immediate error. It looks like the best one
     * because of its short latency and its free slots. An even share would be a quarter of the requests.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void endpointThatFailsFastAttractsLittleWork(long seed) {
        Random random = new Random(seed);
        int atFailing = 0;
        for (int request = 0; request < 600; request++) {
            long now = request * 30L;
            String id = select(now);
            table.started(id);
            boolean fails = id.equals("e0") && random.nextInt(100) < 45;
            atFailing += id.equals("e0") ? 1 : 0;
            table.finished(now, id, fails ? AttemptOutcome.ERRORED : AttemptOutcome.ANSWERED, fails ? 2 : 100);
        }
        assertThat(atFailing).isAtMost(60);
    }

    /** Guards against moving work to busy endpoints because of the one tool call in a hundred that fails by itself. */
    @Test
    void singleErrorDoesNotMoveWorkToBusyEndpoints() {
        for (int number = 1; number < 4; number++) {
            for (int request = 0; request < 9; request++) {
                table.started("e" + number);
            }
        }
        table.started("e0");
        table.finished(0, "e0", AttemptOutcome.ERRORED, 2);
        assertThat(select(10)).isEqualTo("e0");
    }

    /**
     * Guards against each VM having to find a failing endpoint by itself: with many VMs, each one sees only few
     * requests of an endpoint.
     */
    @Test
    void endpointFailingForAnotherVmIsAvoidedUntilTheRateDecays() {
        table.onPeerFailureRates(0, Map.of("e0", 0.5, "gone", 1.0));
        for (int request = 0; request < 12; request++) {
            assertThat(select(0)).isNotEqualTo("e0");
        }
        for (int number = 1; number < 4; number++) {
            for (int request = 0; request < 8; request++) {
                table.started("e" + number);
            }
        }
        assertThat(select(6_000)).isEqualTo("e0");
        assertThat(table.failureRates(0)).isEmpty();
    }

    /** Guards against sending more requests to an endpoint that accepts requests but answers none. */
    @Test
    void unresponsiveEndpointGetsNoMoreWork() {
        for (int request = 0; request < 3; request++) {
            table.started("e0");
            table.markUnresponsive(1_000, "e0");
        }
        for (int request = 0; request < 20; request++) {
            String id = select(1_010);
            assertThat(id).isNotEqualTo("e0");
            table.started(id);
        }
        assertThat(table.failureRates(1_010).keySet()).containsExactly("e0");
    }
}
