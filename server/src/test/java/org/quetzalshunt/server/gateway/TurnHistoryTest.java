package org.quetzalshunt.server.gateway;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import io.netty.util.concurrent.DefaultEventExecutor;
import io.netty.util.concurrent.EventExecutor;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.turn.TurnPrompt;
import org.quetzalshunt.core.turn.TurnRecord;
import org.quetzalshunt.wire.record.StoredRecords;

/** Lifetime of the turns of a conversation, in virtual time. */
final class TurnHistoryTest {
    private static final String ACCOUNT = "arusha";

    /** The retention period of a route and the margin that is added to it. */
    private static final long RETENTION_MILLIS = 70_000;

    private static final long PAUSE_MILLIS = 10_000;
    private static final int TURNS = 40;

    /** Lifetime of a record of the version that stores no copies, and its margin before the removal. */
    private static final long FORMER_LIFETIME_MILLIS = RETENTION_MILLIS;

    private static final long FORMER_REMOVAL_MILLIS = FORMER_LIFETIME_MILLIS + 15_000;

    private final EventExecutor executor = new DefaultEventExecutor();
    private final MemoryMap map = new MemoryMap();
    private final Map<String, byte[]> inputs = new HashMap<>();
    private long nowMillis = 1_000_000;
    private int fillers;

    @AfterEach
    void stop() {
        executor.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** A gateway whose wall clock differs from the true time. */
    private final class Vm {
        long wallOffsetMillis;
        final TurnHistory history;

        Vm() {
            NodeClock clock = new NodeClock(() -> {}, () -> nowMillis, () -> nowMillis + wallOffsetMillis);
            history = new TurnHistory(
                    executor,
                    new StoreClient(map, clock),
                    clock,
                    DecisionLog.start("vm", new PrintStream(OutputStream.nullOutputStream())),
                    new GatewayMetrics(),
                    () -> true);
        }

        TurnHistory.Chain find(String id) {
            AtomicReference<TurnHistory.Chain> result = new AtomicReference<>();
            history.find(id, ACCOUNT, nowMillis, result::set);
            return result.get();
        }

        List<TurnRecord> chain(String id) {
            TurnHistory.Chain chain = find(id);
            assertWithMessage("at %s ms", nowMillis).that(chain).isInstanceOf(TurnHistory.Chain.Found.class);
            return ((TurnHistory.Chain.Found) chain).turns();
        }

        boolean save(String id, List<TurnRecord> chain, byte[] input) {
            AtomicReference<Boolean> result = new AtomicReference<>();
            inputs.put(id, input);
            history.save(
                    new TurnHistory.NewTurn(id, ACCOUNT, chain, input, outputOf(id), RETENTION_MILLIS),
                    () -> false,
                    result::set);
            return result.get();
        }

        /** Runs a turn that continues from another one, and checks the prompt that its endpoint receives. */
        void run(String id, String previous) {
            List<TurnRecord> chain = previous.isEmpty() ? List.of() : chain(previous);
            assertThat(new String(TurnPrompt.assemble(chain, new byte[0]), StandardCharsets.UTF_8))
                    .isEqualTo(promptOf(chain.stream().map(TurnRecord::id).toList()));
            assertThat(save(id, chain, inputOf(id))).isTrue();
        }

        /** Stores turns of other programs in the shards of the given ones, which removes what has expired there. */
        void removeExpired(List<String> ids) {
            for (String id : ids) {
                String filler = "f" + fillers++;
                while (!Shards.ofTurn(filler).equals(Shards.ofTurn(id))) {
                    filler = "f" + fillers++;
                }
                save(filler, List.of(), inputOf(filler));
            }
        }
    }

    private static byte[] inputOf(String id) {
        return ("in-" + id + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private static byte[] outputOf(String id) {
        return ("out-" + id + "\n").getBytes(StandardCharsets.UTF_8);
    }

    private String promptOf(List<String> ids) {
        StringBuilder prompt = new StringBuilder();
        ids.forEach(id -> prompt.append(new String(inputs.get(id), StandardCharsets.UTF_8))
                .append("out-" + id + "\n"));
        return prompt.toString();
    }

    private static List<String> ids(int count) {
        List<String> ids = new ArrayList<>();
        for (int number = 0; number < count; number++) {
            ids.add("turn-" + number);
        }
        return ids;
    }

    /**
     * Guards against a conversation that can never go on because its first turns were removed while its newest one had
     * to be kept together with its chain. The turns come to several gateways in turn, whose caches may be lost.
     */
    @ParameterizedTest
    @CsvSource({"1, false", "1, true", "2, false", "2, true", "3, true"})
    void conversationOutlastsTheRetentionOfItsFirstTurns(int vms, boolean restarts) {
        List<Vm> gateways = new ArrayList<>();
        for (int number = 0; number < vms; number++) {
            gateways.add(new Vm());
        }
        List<String> ids = ids(TURNS);
        for (int number = 0; number < TURNS; number++) {
            Vm reader = restarts ? new Vm() : gateways.get(number % vms);
            if (number > 0) {
                assertThat(reader.chain(ids.get(number - 1))).hasSize(number);
            }
            gateways.get(number % vms).run(ids.get(number), number == 0 ? "" : ids.get(number - 1));
            nowMillis += PAUSE_MILLIS;
            for (Vm gateway : gateways) {
                gateway.removeExpired(ids.subList(0, number + 1));
            }
        }
    }

    /** Guards against a branch that loses its chain because another branch of the same turn was continued later. */
    @Test
    void eachBranchOfATurnKeepsItsChain() {
        Vm first = new Vm();
        Vm second = new Vm();
        List<String> trunk = ids(5);
        for (int number = 0; number < 5; number++) {
            first.run(trunk.get(number), number == 0 ? "" : trunk.get(number - 1));
        }
        String left = trunk.get(4);
        String right = trunk.get(4);
        for (int number = 0; number < TURNS; number++) {
            nowMillis += PAUSE_MILLIS / 2;
            first.run("left-" + number, left);
            left = "left-" + number;
            nowMillis += PAUSE_MILLIS / 2;
            if (number % 6 == 0) {
                second.run("right-" + number, right);
                right = "right-" + number;
            }
            first.removeExpired(trunk);
            second.removeExpired(trunk);
        }
        assertThat(new Vm().chain(left)).hasSize(5 + TURNS);
        assertThat(new Vm().chain(right)).hasSize(5 + (TURNS + 5) / 6);
    }

    /**
     * Guards against a record that is removed early because the wall clock of the gateway that stored it differs from
     * that of the gateway that relies on its expiry.
     */
    @ParameterizedTest
    @CsvSource({"10000, 0", "-10000, 0", "0, 10000", "0, -10000", "7000, -7000", "-7000, 7000"})
    void chainSurvivesDifferentWallClocks(long firstOffsetMillis, long secondOffsetMillis) {
        Vm first = new Vm();
        Vm second = new Vm();
        first.wallOffsetMillis = firstOffsetMillis;
        second.wallOffsetMillis = secondOffsetMillis;
        runAlternately(first, second);
    }

    /** Guards against records that are removed because the wall clock is stepped after they were stored. */
    @ParameterizedTest
    @ValueSource(longs = {3_600_000, -3_600_000})
    void chainSurvivesAStepOfTheWallClock(long stepMillis) {
        Vm first = new Vm();
        Vm second = new Vm();
        List<String> ids = ids(3);
        first.run(ids.get(0), "");
        second.run(ids.get(1), ids.get(0));
        first.run(ids.get(2), ids.get(1));
        first.wallOffsetMillis = stepMillis;
        second.wallOffsetMillis = stepMillis;
        first.removeExpired(ids);
        second.removeExpired(ids);

        assertThat(new Vm().chain(ids.get(2))).hasSize(3);
    }

    private void runAlternately(Vm first, Vm second) {
        List<String> ids = ids(TURNS);
        for (int number = 0; number < TURNS; number++) {
            Vm gateway = number % 2 == 0 ? first : second;
            gateway.run(ids.get(number), number == 0 ? "" : ids.get(number - 1));
            nowMillis += PAUSE_MILLIS;
            first.removeExpired(ids.subList(0, number + 1));
            second.removeExpired(ids.subList(0, number + 1));
        }
    }

    /**
     * Guards against a conversation that is lost in a roll: its first turns were stored by gateways of the version that
     * stores no copies, which remove them at the end of their own retention.
     */
    @Test
    void conversationOfTheFormerVersionGoesOn() {
        List<String> ids = ids(6);
        for (int number = 0; number < 6; number++) {
            storeAsFormerVersion(ids, number);
            nowMillis += PAUSE_MILLIS;
        }
        Vm gateway = new Vm();
        String previous = ids.get(5);
        for (int number = 0; number < TURNS; number++) {
            gateway.run("new-" + number, previous);
            previous = "new-" + number;
            nowMillis += PAUSE_MILLIS;
            removeAsFormerVersion(ids);
        }
        assertThat(new Vm().chain(previous)).hasSize(6 + TURNS);
    }

    private void storeAsFormerVersion(List<String> ids, int number) {
        String id = ids.get(number);
        inputs.put(id, inputOf(id));
        TurnRecord record = new TurnRecord(
                id, ACCOUNT, ids.subList(0, number), inputOf(id), outputOf(id), nowMillis + FORMER_LIFETIME_MILLIS, 0);
        map.put(Shards.ofTurn(id), id, StoredRecords.encode(record));
    }

    private void removeAsFormerVersion(List<String> ids) {
        for (int number = 0; number < ids.size(); number++) {
            long storedMillis = 1_000_000 + number * PAUSE_MILLIS;
            if (nowMillis > storedMillis + FORMER_REMOVAL_MILLIS) {
                map.remove(Shards.ofTurn(ids.get(number)), ids.get(number));
            }
        }
    }

    /**
     * Guards against a chain that cannot be read after a gateway of the version without copies continued it: its record
     * does not say which ancestors were copied.
     */
    @Test
    void turnOfTheFormerVersionContinuesAChainWithCopies() {
        Vm gateway = new Vm();
        List<String> ids = ids(14);
        for (int number = 0; number < 12; number++) {
            gateway.run(ids.get(number), number == 0 ? "" : ids.get(number - 1));
            nowMillis += PAUSE_MILLIS;
        }
        storeAsFormerVersion(ids, 12);
        nowMillis += 3 * PAUSE_MILLIS;
        gateway.removeExpired(ids);
        assertThat(map.keys()).doesNotContain(ids.get(0));

        new Vm().run(ids.get(13), ids.get(12));

        assertThat(new Vm().chain(ids.get(13))).hasSize(14);
    }

    /** Guards against a chain that expires while the store is unavailable, when nothing can be copied. */
    @Test
    void chainSurvivesAnOutageOfTheStoreAtTheTimeOfItsExpiry() {
        Vm gateway = new Vm();
        List<String> ids = ids(8);
        for (int number = 0; number < 7; number++) {
            gateway.run(ids.get(number), number == 0 ? "" : ids.get(number - 1));
            nowMillis += PAUSE_MILLIS;
        }
        map.unavailable = true;
        List<TurnRecord> chain = gateway.chain(ids.get(6));
        for (long end = nowMillis + 55_000; nowMillis < end; nowMillis += 1_000) {
            assertThat(gateway.save(ids.get(7), chain, inputOf(ids.get(7)))).isFalse();
        }
        map.unavailable = false;
        gateway.removeExpired(ids);

        new Vm().run(ids.get(7), ids.get(6));

        nowMillis += RETENTION_MILLIS;
        gateway.removeExpired(ids);
        assertThat(new Vm().chain(ids.get(7))).hasSize(8);
    }

    /** Guards against copies that exceed the store's limits on a record, an append or a page. */
    @Test
    void copiesOfALongChainAreDividedByTheLimitsOfTheStore() {
        Vm gateway = new Vm();
        byte[] input = new byte[180_000];
        List<String> ids = ids(30);
        String previous = "";
        for (String id : ids) {
            assertThat(gateway.save(id, previous.isEmpty() ? List.of() : gateway.chain(previous), input))
                    .isTrue();
            previous = id;
            nowMillis += PAUSE_MILLIS;
            gateway.removeExpired(ids);
        }
        List<TurnRecord> chain = new Vm().chain(previous);
        assertThat(chain.stream().map(TurnRecord::id).toList()).isEqualTo(ids);
        assertThat(chain.stream().allMatch(turn -> turn.input().length == input.length))
                .isTrue();
    }

    /** Guards against a store that fills up with copies of conversations that have ended. */
    @Test
    void expiredTurnsAndTheirCopiesAreRemoved() {
        Vm gateway = new Vm();
        List<String> ids = ids(TURNS);
        for (int number = 0; number < TURNS; number++) {
            gateway.run(ids.get(number), number == 0 ? "" : ids.get(number - 1));
            nowMillis += PAUSE_MILLIS;
        }
        nowMillis += 3 * RETENTION_MILLIS;
        for (int pass = 0; pass < TURNS; pass++) {
            gateway.removeExpired(ids);
        }
        assertThat(map.keys().stream().filter(key -> key.startsWith("turn-")).toList())
                .isEmpty();
    }

    /**
     * Guards against a conversation that costs more store calls the longer it lasts: one append for each turn, and a
     * chain of 100 turns is read from a few shards.
     */
    @Test
    void longConversationCostsOneAppendPerTurn() {
        Vm gateway = new Vm();
        List<String> ids = ids(100);
        for (int number = 0; number < 100; number++) {
            gateway.run(ids.get(number), number == 0 ? "" : ids.get(number - 1));
            nowMillis += PAUSE_MILLIS;
        }
        assertThat(map.appends).isEqualTo(100);
        assertThat(map.reads).isEqualTo(0);

        assertThat(new Vm().chain(ids.get(99))).hasSize(100);

        // The last turn, the turn with the copies, and those since then.
        assertThat(map.reads).isAtMost(2 + (int) (2 * RETENTION_MILLIS / PAUSE_MILLIS));
    }

    /** Guards against a peer that does not send a chain from its cache because the first turns have expired. */
    @Test
    void cachedChainIncludesAncestorsPastTheirOwnExpiry() {
        Vm gateway = new Vm();
        List<String> ids = ids(TURNS);
        for (int number = 0; number < TURNS; number++) {
            gateway.run(ids.get(number), number == 0 ? "" : ids.get(number - 1));
            nowMillis += PAUSE_MILLIS;
        }
        assertThat(gateway.history.cachedChain(ids.get(TURNS - 1), ACCOUNT)).isPresent();
    }
}
