package org.quetzalshunt.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.policy.Policy;

/** Requests with long prompts at few engines, which crash if the requests that they hold exceed their memory. */
final class EngineWorkTest {
    private static final long CAPACITY = 90_000;
    private static final long TOKENS = 9_000;
    private static final int ENGINES = 2;
    private static final int FITTING = (int) (ENGINES * CAPACITY / TOKENS);

    private static EndpointTable table(int number) {
        EndpointTable table = EndpointTable.create("a", number, Policy.allEnabled());
        for (int engine = 0; engine < ENGINES; engine++) {
            table.register(0, new Registration("e" + engine, "llm", "10.0.0.1:1", "a", 6, false, 0, 1));
        }
        return table;
    }

    /** Sends requests through all VMs in turn, each with the reports of the others; returns the largest engine. */
    private static long largestWork(int vms, int requests, long workTokens) {
        List<EndpointTable> tables = new ArrayList<>();
        for (int vm = 0; vm < vms; vm++) {
            tables.add(table(vm));
        }
        Map<String, Long> tokens = new HashMap<>();
        for (int request = 0; request < requests; request++) {
            int sender = request % vms;
            reportAll(tables, sender);
            EndpointTable table = tables.get(sender);
            table.select(request, request(workTokens))
                    .map(each -> each.registration().id())
                    .ifPresent(id -> {
                        table.started(id);
                        table.addWork(id, workTokens);
                        tokens.merge(id, TOKENS, Long::sum);
                    });
        }
        assertThat(tokens).hasSize(ENGINES);
        return tokens.values().stream().mapToLong(Long::longValue).max().orElse(0);
    }

    private static RoutingRequest request(long workTokens) {
        return new RoutingRequest(
                "llm", Set.of(), List.of(), CAPACITY, EndpointLimits.inFlight(1_000), RoutingOptions.OFF, workTokens);
    }

    private static void reportAll(List<EndpointTable> tables, int receiver) {
        for (int vm = 0; vm < tables.size(); vm++) {
            if (vm != receiver) {
                tables.get(receiver).onPeerRunning("vm-" + vm, tables.get(vm).requestsInFlight());
            }
        }
    }

    /** Guards against an engine that crashes with all its requests because every VM counts only its own. */
    @ParameterizedTest
    @ValueSource(ints = {1, 8, 30, 300})
    void requestsAtAnEngineStayWithinItsMemory(int vms) {
        int requests = 2 * FITTING;
        assertThat(largestWork(vms, requests, TOKENS)).isAtMost(CAPACITY);
        assertThat(largestWork(vms, requests, 0)).isGreaterThan(CAPACITY);
    }

    /** Guards against tokens that stay counted after a request ended, so that the engine is never used again. */
    @ParameterizedTest
    @ValueSource(ints = {1, 100})
    void engineIsUsedAgainAfterItsRequestsEnded(int rounds) {
        EndpointTable table = table(1);
        for (int round = 0; round < rounds; round++) {
            for (int request = 0; request < FITTING; request++) {
                String id = table.select(round, request(TOKENS))
                        .orElseThrow()
                        .registration()
                        .id();
                table.started(id);
                table.addWork(id, TOKENS);
            }
            assertThat(table.select(round, request(TOKENS))).isEmpty();
            for (int engine = 0; engine < ENGINES; engine++) {
                for (int request = 0; request < FITTING / ENGINES; request++) {
                    table.finished(round, "e" + engine, AttemptOutcome.ANSWERED, 100);
                    table.addWork("e" + engine, -TOKENS);
                }
            }
        }
        assertThat(table.select(rounds, request(CAPACITY))).isPresent();
    }
}
