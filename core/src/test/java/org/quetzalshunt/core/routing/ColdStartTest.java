package org.quetzalshunt.core.routing;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalshunt.core.policy.Policy;

/**
 * All endpoints of a data centre restart cold and idle, while many VMs that see each other's loads with a delay have
 * requests waiting.
 */
final class ColdStartTest {
    private static final double SAFE_REQUESTS_PER_SECOND = 33;
    private static final double ALLOWED_PART = 0.5;
    private static final long COLD_MILLIS = 3_000;
    private static final long WINDOW_MILLIS = 1_000;
    private static final int COLD = 2;
    private static final int WARM = 1;

    private static Registration registration(String id, long coldMillis) {
        return new Registration(id, "llm", "10.0.0.1:80", "a", 8, false, coldMillis, 1);
    }

    private static EndpointLimits limits(int vms) {
        return new EndpointLimits(100, ALLOWED_PART * SAFE_REQUESTS_PER_SECOND / vms, Optional.empty());
    }

    /** Guards against cold endpoints that crash because each VM sends its next request to the one that looks idle. */
    @ParameterizedTest
    @CsvSource({"1, 200", "8, 400", "26, 400", "26, 2000", "334, 4000"})
    void coldEndpointIsNotOverloaded(int vms, int requestsPerSecond) {
        Random random = new Random(vms);
        List<EndpointTable> tables = new ArrayList<>();
        Map<Integer, Long> learntMillis = new HashMap<>();
        for (int vm = 0; vm < vms; vm++) {
            tables.add(EndpointTable.create("a", 1_000 + vm, Policy.allEnabled()));
            learntMillis.put(vm, (long) random.nextInt(700));
        }
        Map<String, ArrayDeque<Long>> sent = new HashMap<>();
        for (long now = 0; now < COLD_MILLIS; now++) {
            for (int vm = 0; vm < vms; vm++) {
                register(tables.get(vm), now, learntMillis.get(vm));
            }
            int arrivals = requestsPerSecond / 1_000 + (random.nextInt(1_000) < requestsPerSecond % 1_000 ? 1 : 0);
            for (int arrival = 0; arrival < arrivals; arrival++) {
                int vm = random.nextInt(vms);
                if (now >= learntMillis.get(vm)) {
                    send(tables.get(vm), now, vms, sent);
                }
            }
        }
    }

    private static void register(EndpointTable table, long now, long learntMillis) {
        if (now != learntMillis) {
            return;
        }
        for (int number = 0; number < COLD; number++) {
            table.register(now, registration("cold" + number, COLD_MILLIS));
        }
        for (int number = 0; number < WARM; number++) {
            table.register(now, registration("warm" + number, 0));
        }
    }

    private static void send(EndpointTable table, long now, int vms, Map<String, ArrayDeque<Long>> sent) {
        String id = table.select(now, RoutingRequest.plain("llm", Set.of(), limits(vms)))
                .map(selected -> selected.registration().id())
                .orElse("");
        if (!id.startsWith("cold")) {
            return;
        }
        ArrayDeque<Long> window = sent.computeIfAbsent(id, ignored -> new ArrayDeque<>());
        window.addLast(now);
        while (window.peekFirst() <= now - WINDOW_MILLIS) {
            window.removeFirst();
        }
        assertWithMessage("requests to %s in the second before %s ms", id, now)
                .that((double) window.size())
                .isAtMost(SAFE_REQUESTS_PER_SECOND);
    }

    @Test
    void coldEndpointIsRateLimitedEvenIfNoOtherIsLeft() {
        EndpointTable table = EndpointTable.create("a", 1, Policy.allEnabled());
        table.register(0, registration("cold", COLD_MILLIS));
        int served = 0;
        for (long now = 0; now < COLD_MILLIS; now += 10) {
            RoutingRequest request = RoutingRequest.plain("llm", Set.of(), limits(4));
            served += table.select(now, request).isPresent() ? 1 : 0;
        }
        assertThat(served).isAtLeast(11);
        assertThat(served).isAtMost(14);
    }

    @Test
    void warmEndpointIsNotLimited() {
        EndpointTable table = EndpointTable.create("a", 1, Policy.allEnabled());
        table.register(0, registration("e", COLD_MILLIS));
        table.register(100, registration("e", 0));
        for (int request = 0; request < 50; request++) {
            assertThat(table.select(100, RoutingRequest.plain("llm", Set.of(), limits(100))))
                    .isPresent();
        }
    }

    /** Guards against a token bucket that is refilled by each heartbeat of an endpoint that is still cold. */
    @Test
    void heartbeatsOfAColdEndpointAddNoTokens() {
        EndpointTable table = EndpointTable.create("a", 1, Policy.allEnabled());
        int served = 0;
        for (long now = 0; now < 2_000; now += 10) {
            table.register(now, registration("e", COLD_MILLIS - now));
            served += table.select(now, RoutingRequest.plain("llm", Set.of(), limits(100)))
                            .isPresent()
                    ? 1
                    : 0;
        }
        assertThat(served).isAtMost(1);
    }
}
