package org.quetzalshunt.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;

/** Requests between data centres: none while the local one has free slots, and all that do not fit when it is full. */
final class LocalFirstTest {
    private static final int SLOTS = 10;

    private final EndpointTable table = EndpointTable.create("a", 7, Policy.allEnabled());

    @BeforeEach
    void register() {
        for (String dataCentre : List.of("a", "b", "c")) {
            for (int number = 0; number < 2; number++) {
                String id = dataCentre + number;
                table.register(0, new Registration(id, "llm", "10.0.0.1:80", dataCentre, SLOTS, false, 0, 1));
            }
        }
    }

    private static RoutingRequest request(double objectiveMillis, String program, Set<Mechanism> parts) {
        RoutingOptions options = RoutingOptions.of(parts::contains, "turns", objectiveMillis, program);
        List<PrefixPart> prompt = List.of(new PrefixPart("shared", 500), new PrefixPart(program, 500));
        return new RoutingRequest("llm", Set.of(), prompt, 90_000, EndpointLimits.inFlight(100), options);
    }

    private long remote(int requests, double objectiveMillis, Set<Mechanism> parts) {
        long remote = 0;
        for (int each = 0; each < requests; each++) {
            Selection selected = table.select(each, request(objectiveMillis, "program-" + each, parts))
                    .orElseThrow();
            remote += selected.registration().dataCentre().equals("a") ? 0 : 1;
        }
        return remote;
    }

    /** Guards against traffic to other data centres for a gain of a few milliseconds. */
    @ParameterizedTest
    @ValueSource(ints = {0, 5, 9})
    void noRequestLeavesWhileALocalSlotIsFree(int load) {
        table.onPeerRunning("vm-2", Map.of("a0", load, "a1", load));
        assertThat(remote(100, 1_000, Set.of(Mechanism.LOCAL_FIRST))).isEqualTo(0);
        assertThat(remote(100, 1_000, Set.of(Mechanism.LOCAL_FIRST, Mechanism.SPEED_SAMPLING)))
                .isEqualTo(0);
        assertThat(remote(100, 1_000, Set.of())).isGreaterThan(10);
    }

    /** Guards against a queue in one data centre while others are idle, and against a change with each request. */
    @Test
    void spilloverStartsAtOnceAndEndsWhenATenthIsFree() {
        Set<Mechanism> parts = Set.of(Mechanism.LOCAL_FIRST, Mechanism.SPEED_SAMPLING);
        table.onPeerRunning("vm-2", Map.of("a0", SLOTS, "a1", SLOTS));
        assertThat(remote(100, 1_000, parts)).isGreaterThan(90);
        assertThat(table.localFirst().spilling()).containsExactly("llm");
        table.onPeerRunning("vm-2", Map.of("a0", SLOTS, "a1", SLOTS - 1));
        assertThat(remote(100, 1_000, parts)).isGreaterThan(0);
        table.onPeerRunning("vm-2", Map.of("a0", SLOTS - 1, "a1", SLOTS - 1));
        assertThat(remote(100, 1_000, parts)).isEqualTo(0);
        assertThat(table.localFirst().takeChanges())
                .containsExactly(new SpilloverChange("llm", true), new SpilloverChange("llm", false))
                .inOrder();
    }

    /** Guards against programs that are late because the local engines are slow, although they have free slots. */
    @Test
    void requestThatNoLocalEndpointCompletesInTimeMayLeave() {
        for (String id : List.of("a0", "a1", "b0", "b1", "c0", "c1")) {
            for (int answer = 0; answer < 20; answer++) {
                table.speeds().recordGeneration(id, 100, id.startsWith("a") ? 1_000 : 100);
            }
        }
        Set<Mechanism> parts = Set.of(Mechanism.LOCAL_FIRST, Mechanism.SPEED_SAMPLING);
        assertThat(remote(100, 500, parts)).isGreaterThan(80);
        assertThat(table.localFirst().spilling()).isEmpty();
        assertThat(remote(100, 5_000, parts)).isEqualTo(0);
    }

    /** Guards against requests that fail because all local endpoints are gone or failing. */
    @Test
    void requestsLeaveWhenNoLocalEndpointIsHealthy() {
        for (String id : List.of("a0", "a1")) {
            table.started(id);
            table.finished(0, id, AttemptOutcome.FAILED, 1);
        }
        assertThat(remote(100, 1_000, Set.of(Mechanism.LOCAL_FIRST))).isEqualTo(100);
        table.remove("a0");
        table.remove("a1");
        assertThat(remote(100, 1_000, Set.of(Mechanism.LOCAL_FIRST))).isEqualTo(100);
    }

    /** Guards against messages to other data centres about prompts that only one program can use. */
    @Test
    void partIsSharedOnceASecondProgramUsesIt() {
        PrefixPart shared = new PrefixPart("shared", 500);
        Set<Mechanism> parts = Set.of(Mechanism.LOCAL_FIRST);
        table.recordPrompt("a0", request(1_000, "one", parts), 0);
        table.recordPrompt("a0", request(1_000, "one", parts), 0);
        assertThat(table.isSharedPrefix(shared)).isFalse();
        assertThat(table.takeNewLocations()).hasSize(2);
        table.recordPrompt("a0", request(1_000, "two", parts), 0);
        assertThat(table.isSharedPrefix(shared)).isTrue();
        assertThat(table.isSharedPrefix(new PrefixPart("two", 500))).isFalse();
        assertThat(table.takeNewLocations())
                .containsExactly(
                        new PrefixLocation("a0", shared), new PrefixLocation("a0", new PrefixPart("two", 500)));
    }

    /** Guards against additional reports of prefix locations in deployments that do not use load control. */
    @Test
    void partOfASecondProgramIsNotReportedAgainWhileOff() {
        table.recordPrompt("a0", request(1_000, "one", Set.of()), 0);
        table.takeNewLocations();
        table.recordPrompt("a0", request(1_000, "two", Set.of()), 0);
        assertThat(table.takeNewLocations()).containsExactly(new PrefixLocation("a0", new PrefixPart("two", 500)));
    }
}
