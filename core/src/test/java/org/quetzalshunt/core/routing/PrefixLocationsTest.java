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

/** Where turns with long common prompts go: at one VM, at several that hear of each other, and at a start of all. */
final class PrefixLocationsTest {
    private static final int ENGINES = 6;
    private static final long MEMORY_TOKENS = 1_000_000;
    private static final PrefixPart COMMON = new PrefixPart("common", 12_600);

    private final EndpointTable first = table(1, Policy.whole());
    private final EndpointTable second = table(2, Policy.whole());

    private static EndpointTable table(long seed, Policy policy) {
        EndpointTable table = EndpointTable.create("a", seed, policy);
        for (int number = 0; number < ENGINES; number++) {
            String address = "10.0.0." + number + ":80";
            table.registered(0, new Registration("e" + number, "llm", address, "a", 48, false, 0, 1));
        }
        return table;
    }

    @BeforeEach
    void engineSpeedsAreKnown() {
        for (EndpointTable table : List.of(first, second)) {
            for (int number = 0; number < ENGINES; number++) {
                table.onFirstEvent("e" + number, 12_000, 80);
                table.generated("e" + number, 250, 400);
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
        Selection choice = table.select(0, request).orElseThrow();
        String id = choice.registration().id();
        table.started(id);
        table.prompted(id, request, choice.uncachedTokens());
        return id;
    }

    private static String run(EndpointTable table, RoutingRequest request) {
        long missing = table.select(0, request).orElseThrow().uncachedTokens();
        String id = send(table, request);
        table.prefillDone(id, missing);
        table.finished(0, id, AttemptOutcome.ANSWERED, 400);
        return id;
    }

    /**
     * A program's turns arrive through another VM each time, on a route that keeps no history. Without word of where the
     * first ran, the second is read anew elsewhere, with the whole prompt of the program, and holds up all that runs there.
     */
    @Test
    void turnFollowsItsProgramThroughAnotherVm() {
        String ran = send(first, turn("line", 2_000));
        first.finished(0, ran, AttemptOutcome.ANSWERED, 400);
        second.onPeerPrefixes(first.takeNewLocations());

        assertThat(send(second, turn("line", 3_500))).isEqualTo(ran);
    }

    @Test
    void subAgentFollowsTheProgramWhosePromptItGoesOnFrom() {
        String ran = send(first, turn("line", 2_000));
        PrefixPart parent = new PrefixPart("line", 2_000);

        assertThat(send(first, routingRequest(List.of(COMMON, parent, new PrefixPart("helper", 800)))))
                .isEqualTo(ran);
    }

    /** Slow and fast runs alike must not make a turn leave its prompt: their mean is noise, not the engine's speed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void oddRunsDoNotDrawATurnAwayFromItsPrompt(long seed) {
        String ran = send(first, turn("line", 2_000));
        Random random = new Random(seed);
        for (int run = 0; run < 200; run++) {
            String id = "e" + random.nextInt(ENGINES);
            long tokens = 16L * (1 + random.nextInt(37));
            first.started(id);
            first.generated(id, tokens, (long) (tokens * 1.6));
            first.finished(run, id, AttemptOutcome.ANSWERED, (long) (tokens * 1.6));
        }

        assertThat(send(first, turn("line", 3_000))).isEqualTo(ran);
    }

    /**
     * All VMs begin at once, and each has callers with the same common prompt. Each would have it read at an engine of its
     * own choice, so that six engines read it in the first instant where one or two would do.
     */
    @Test
    void coldStartReadsACommonPartAtOneEndpoint() {
        Set<String> readAt = new HashSet<>();
        for (int vm = 0; vm < 8; vm++) {
            readAt.add(send(table(vm, Policy.whole()), turn("line-" + vm, 1_000)));
        }
        assertThat(readAt).hasSize(1);
    }

    /**
     * All VMs are killed and start again; the engines live on. Every line of turns would go to an engine that does not hold
     * it, all at once, and the first seconds after a kill were spent reading: turns took a second and more.
     */
    @Test
    void linesFindTheirEnginesAgainAfterAllVmsWereKilled() {
        EndpointTable restarted = table(1_000_000, Policy.whole());
        for (int number = 0; number < ENGINES; number++) {
            RoutingRequest warmUp = routingRequest(List.of(COMMON));
            first.prompted("e" + number, warmUp, 0);
        }
        int same = 0;
        for (int line = 0; line < 60; line++) {
            String before = run(first, turn("line-" + line, 4_000));
            String after = run(restarted, turn("line-" + line, 5_000));
            same += before.equals(after) ? 1 : 0;
        }
        assertThat(same).isAtLeast(48);
    }

    /**
     * Engines are replaced, and a new one holds nothing. Idle as it looks, it drew a third of all turns in its first second,
     * each with a long prompt to read, and all of them took three times as long as elsewhere.
     */
    @Test
    void emptyEndpointIsNotSentMoreThanItCanRead() {
        for (int part = 0; part < 16; part++) {
            for (int number = 1; number < ENGINES; number++) {
                first.prompted("e" + number, routingRequest(List.of(new PrefixPart("common-" + part, 12_600))), 0);
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
     * On routes without history each turn looks like a first one. An account at its rate had its programs' later turns
     * refused as if they began new ones.
     */
    @Test
    void laterTurnIsToldFromAFirstOneByItsPrompt() {
        assertThat(first.mayCache(0, "llm", turn("line", 1_000).prompt())).isFalse();
        send(first, turn("line", 1_000));
        assertThat(first.mayCache(0, "llm", turn("line", 2_000).prompt())).isTrue();
        assertThat(first.mayCache(0, "llm", turn("other", 2_000).prompt())).isFalse();
        assertThat(table(1_000_000, Policy.whole())
                        .mayCache(0, "llm", turn("line", 2_000).prompt()))
                .isTrue();
    }

    /** One common part alone must not gather the work of all at one engine: crowded enough, others read it too. */
    @Test
    void crowdedHomeIsRelieved() {
        List<String> sent = new ArrayList<>();
        for (int request = 0; request < 120; request++) {
            sent.add(send(first, turn("line-" + request, 1_000)));
        }
        assertThat(new HashSet<>(sent)).hasSize(ENGINES);
    }

    /** Memory for a few prompts only: what was sent long ago is gone there, and must not draw a turn to a busy engine. */
    @Test
    void smallMemoryForgetsTheLeastRecentPrompt() {
        PrefixCache memory = new PrefixCache();
        for (int number = 0; number < 10; number++) {
            memory.hold(new PrefixPart("p" + number, 10_000), 50_000);
        }
        assertThat(memory.uncachedTokens(List.of(new PrefixPart("p9", 11_000)))).isEqualTo(1_000);
        assertThat(memory.uncachedTokens(List.of(new PrefixPart("p4", 10_000)))).isEqualTo(10_000);
        assertThat(memory.uncachedTokens(List.of(new PrefixPart("p4", 10_000), new PrefixPart("p9", 10_000))))
                .isEqualTo(20_000);
    }

    @Test
    void restartedEndpointHoldsNothing() {
        String ran = send(first, turn("line", 2_000));
        first.registered(0, new Registration(ran, "llm", "10.0.0.9:80", "a", 48, false, 0, 2));

        assertThat(first.select(0, turn("line", 2_000)).orElseThrow().uncachedTokens())
                .isEqualTo(14_600);
    }

    @ParameterizedTest
    @EnumSource(
            value = Mechanism.class,
            names = {"PREFIX_AFFINITY", "SHARED_PREFIX_LOCATIONS"})
    void withoutTheMechanismTheSecondVmKnowsOfNothing(Mechanism mechanism) {
        EndpointTable plain = table(1, Policy.without(List.of(mechanism)));
        send(plain, turn("line", 2_000));
        second.onPeerPrefixes(plain.takeNewLocations());

        Selection choice = second.select(0, turn("line", 2_000)).orElseThrow();

        assertThat(choice.uncachedTokens()).isEqualTo(mechanism == Mechanism.SHARED_PREFIX_LOCATIONS ? 14_600 : 0);
    }
}
