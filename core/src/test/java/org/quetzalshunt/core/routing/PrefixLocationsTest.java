package org.quetzalshunt.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;

/**
 * Endpoint selection for turns with long common prompts: at one VM, at several VMs that exchange prefix locations, and
 * at a simultaneous start.
 */
final class PrefixLocationsTest {
    private static final int ENGINES = 6;
    private static final long MEMORY_TOKENS = 1_000_000;
    private static final PrefixPart COMMON = new PrefixPart("common", 12_600);

    private final EndpointTable first = table(1, Policy.allEnabled());
    private final EndpointTable second = table(2, Policy.allEnabled());

    private static EndpointTable table(long seed, Policy policy) {
        EndpointTable table = EndpointTable.create("a", seed, policy);
        for (int number = 0; number < ENGINES; number++) {
            String address = "10.0.0." + number + ":80";
            table.register(0, new Registration("e" + number, "llm", address, "a", 48, false, 0, 1));
        }
        return table;
    }

    @BeforeEach
    void recordEngineSpeeds() {
        for (EndpointTable table : List.of(first, second)) {
            for (int number = 0; number < ENGINES; number++) {
                table.onFirstEvent("e" + number, 12_000, 80);
                table.recordGeneration("e" + number, 250, 400);
            }
        }
    }

    private static RoutingRequest turn(String line, long tokens) {
        return routingRequest(List.of(COMMON, new PrefixPart(line, tokens)));
    }

    private static RoutingRequest routingRequest(List<PrefixPart> prompt) {
        return new RoutingRequest("llm", Set.of(), prompt, MEMORY_TOKENS, EndpointLimits.inFlight(1_000));
    }

    private static String send(EndpointTable table, RoutingRequest request) {
        Selection selection = table.select(0, request).orElseThrow();
        String id = selection.registration().id();
        table.started(id);
        table.recordPrompt(id, request, selection.uncachedTokens());
        return id;
    }

    private static String run(EndpointTable table, RoutingRequest request) {
        long uncached = table.select(0, request).orElseThrow().uncachedTokens();
        String id = send(table, request);
        table.recordPrefillDone(id, uncached);
        table.finished(0, id, AttemptOutcome.ANSWERED, 400);
        return id;
    }

    /**
     * Guards against turns that leave their cached prompt because each one arrives through another VM, on a route
     * without history. Without the prefix location of the first turn, the whole prompt would be prefilled again at
     * another engine and stall all requests there.
     */
    @Test
    void turnFollowsItsProgramThroughAnotherVm() {
        String endpoint = send(first, turn("line", 2_000));
        first.finished(0, endpoint, AttemptOutcome.ANSWERED, 400);
        second.onPeerPrefixLocations(first.takeNewLocations());

        assertThat(send(second, turn("line", 3_500))).isEqualTo(endpoint);
    }

    @Test
    void subAgentRunsWhereItsParentPromptIsCached() {
        String endpoint = send(first, turn("line", 2_000));
        PrefixPart parent = new PrefixPart("line", 2_000);

        assertThat(send(first, routingRequest(List.of(COMMON, parent, new PrefixPart("helper", 800)))))
                .isEqualTo(endpoint);
    }

    /**
     * Guards against leaving a cached prompt because of random slow and fast answers, whose average is noise and not
     * the speed of an engine.
     */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void noisyAnswerTimesDoNotMoveATurnAwayFromItsCachedPrompt(long seed) {
        String endpoint = send(first, turn("line", 2_000));
        Random random = new Random(seed);
        for (int run = 0; run < 200; run++) {
            String id = "e" + random.nextInt(ENGINES);
            long tokens = 16L * (1 + random.nextInt(37));
            first.started(id);
            first.recordGeneration(id, tokens, (long) (tokens * 1.6));
            first.finished(run, id, AttemptOutcome.ANSWERED, (long) (tokens * 1.6));
        }

        assertThat(send(first, turn("line", 3_000))).isEqualTo(endpoint);
    }

    /**
     * Guards against the prefill of a common prompt at six engines where one or two would do. It happens when all VMs
     * start at once and each one chooses an engine by itself.
     */
    @Test
    void simultaneousStartPrefillsACommonPartAtOneEndpoint() {
        Set<String> prefilledAt = new HashSet<>();
        for (int vm = 0; vm < 8; vm++) {
            prefilledAt.add(send(table(vm, Policy.allEnabled()), turn("line-" + vm, 1_000)));
        }
        assertThat(prefilledAt).hasSize(1);
    }

    /**
     * Guards against conversations that are sent to other engines after all VMs restart while the engines keep running.
     * The first seconds would be spent on prefill, and turns would take more than a second.
     */
    @Test
    void conversationsReturnToTheirEnginesAfterAllVmsRestart() {
        EndpointTable restarted = table(1_000_000, Policy.allEnabled());
        for (int number = 0; number < ENGINES; number++) {
            RoutingRequest warmUp = routingRequest(List.of(COMMON));
            first.recordPrompt("e" + number, warmUp, 0);
        }
        int unchanged = 0;
        for (int line = 0; line < 60; line++) {
            String before = run(first, turn("line-" + line, 4_000));
            String after = run(restarted, turn("line-" + line, 5_000));
            unchanged += before.equals(after) ? 1 : 0;
        }
        assertThat(unchanged).isAtLeast(48);
    }

    /**
     * Guards against overloading a new engine with an empty cache. It looks idle and would attract a third of all turns
     * in its first second, each with a long prompt to prefill, and these turns would take three times as long as
     * elsewhere.
     */
    @Test
    void emptyEndpointIsNotOverloadedWithPrefill() {
        for (int part = 0; part < 16; part++) {
            for (int number = 1; number < ENGINES; number++) {
                first.recordPrompt("e" + number, routingRequest(List.of(new PrefixPart("common-" + part, 12_600))), 0);
            }
        }
        for (int number = 1; number < ENGINES; number++) {
            for (int request = 0; request < 15; request++) {
                first.started("e" + number);
            }
        }
        int atEmpty = 0;
        for (int request = 0; request < 30; request++) {
            PrefixPart common = new PrefixPart("common-" + request % 16, 12_600);
            String id = send(first, routingRequest(List.of(common, new PrefixPart("line-" + request, 1_000))));
            atEmpty += id.equals("e0") ? 1 : 0;
        }
        assertThat(atEmpty).isAtMost(8);
    }

    /**
     * Guards against refusing the later turns of a program as if they began new programs when an account has reached
     * its rate limit. On routes without history only the prompt tells the two apart.
     */
    @Test
    void laterTurnIsDistinguishedFromAFirstTurnByItsPrompt() {
        assertThat(first.mayHavePrefixCached(0, "llm", turn("line", 1_000).prompt()))
                .isFalse();
        send(first, turn("line", 1_000));
        assertThat(first.mayHavePrefixCached(0, "llm", turn("line", 2_000).prompt()))
                .isTrue();
        assertThat(first.mayHavePrefixCached(0, "llm", turn("other", 2_000).prompt()))
                .isFalse();
        assertThat(table(1_000_000, Policy.allEnabled())
                        .mayHavePrefixCached(0, "llm", turn("line", 2_000).prompt()))
                .isTrue();
    }

    /**
     * Guards against all requests with one common part running on a single engine: when it is crowded, others prefill
     * the part too.
     */
    @Test
    void crowdedPrefixHolderSharesItsWork() {
        List<String> sent = new ArrayList<>();
        for (int request = 0; request < 120; request++) {
            sent.add(send(first, turn("line-" + request, 1_000)));
        }
        assertThat(new HashSet<>(sent)).hasSize(ENGINES);
    }

    /**
     * Guards against turns that wait for a busy engine which evicted their prompt long ago, when its cache holds only a
     * few prompts.
     */
    @Test
    void fullCacheEvictsTheLeastRecentlyUsedPrompt() {
        PrefixCache memory = new PrefixCache();
        for (int number = 0; number < 10; number++) {
            memory.add(new PrefixPart("p" + number, 10_000), 50_000);
        }
        assertThat(memory.uncachedTokens(List.of(new PrefixPart("p9", 11_000)))).isEqualTo(1_000);
        assertThat(memory.uncachedTokens(List.of(new PrefixPart("p4", 10_000)))).isEqualTo(10_000);
        assertThat(memory.uncachedTokens(List.of(new PrefixPart("p4", 10_000), new PrefixPart("p9", 10_000))))
                .isEqualTo(20_000);
    }

    @Test
    void restartedEndpointHasAnEmptyCache() {
        String endpoint = send(first, turn("line", 2_000));
        first.register(0, new Registration(endpoint, "llm", "10.0.0.9:80", "a", 48, false, 0, 2));

        assertThat(first.select(0, turn("line", 2_000)).orElseThrow().uncachedTokens())
                .isEqualTo(14_600);
    }

    @ParameterizedTest
    @EnumSource(
            value = Mechanism.class,
            names = {"PREFIX_AFFINITY", "SHARED_PREFIX_LOCATIONS"})
    void secondVmLearnsNoLocationsWithoutTheMechanism(Mechanism mechanism) {
        EndpointTable plain = table(1, Policy.without(List.of(mechanism)));
        send(plain, turn("line", 2_000));
        second.onPeerPrefixLocations(plain.takeNewLocations());

        Selection selection = second.select(0, turn("line", 2_000)).orElseThrow();

        assertThat(selection.uncachedTokens()).isEqualTo(mechanism == Mechanism.SHARED_PREFIX_LOCATIONS ? 14_600 : 0);
    }
}
