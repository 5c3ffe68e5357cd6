package org.quetzalshunt.core.dispatch;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.routing.ServiceUse;

/** Failures around the queue of one gateway. */
final class DispatcherTest {
    private static final long NOW = 1_000_000;
    private static final long LEFT = 3_000;

    private ServiceUse use = new ServiceUse(60, 0, 55, 29);
    private int liveVms = 30;
    private long nextId;
    private final Dispatcher dispatcher = Dispatcher.create(
            new SlotView() {
                @Override
                public ServiceUse use(long nowMillis, String service) {
                    return use;
                }

                @Override
                public int liveVms() {
                    return liveVms;
                }
            },
            1);

    private ProgramStart start(int urgency, String account, OptionalLong left) {
        return new ProgramStart(
                nextId++, "llm", "chat", account, urgency, NOW, NOW + LEFT, 400, left, OptionalLong.empty());
    }

    private ProgramStart start(int urgency) {
        return start(urgency, "", OptionalLong.of(4_000));
    }

    private StartDecision offer(ProgramStart start) {
        return dispatcher.offer(NOW, start);
    }

    /** Makes the service short of slots, and queues some first turns. */
    private void queue(int urgency, int count) {
        use = new ServiceUse(60, 0, 55, 2);
        liveVms = 3;
        for (int each = 0; each < 200 && dispatcher.waiting().getOrDefault("llm", 0) < count; each++) {
            offer(start(urgency));
        }
        assertThat(dispatcher.waiting()).containsExactly("llm", count);
    }

    /** Guards against a place that is kept for a caller that has left, so that the next one waits in vain. */
    @Test
    void aCallerThatLeavesGivesItsPlaceToTheNext() {
        queue(2, 2);
        ProgramStart last = start(2);
        long firstWaiting = last.id() - 2;
        assertThat(dispatcher.withdraw(firstWaiting)).isTrue();
        assertThat(dispatcher.withdraw(firstWaiting)).isFalse();

        List<QueueExit> due = dispatcher.takeDue(NOW + 600);

        assertThat(due).hasSize(1);
        assertThat(due.get(0).start().id()).isEqualTo(firstWaiting + 1);
        assertThat(due.get(0).decision()).isInstanceOf(StartDecision.Send.class);
    }

    /** Guards against requests that a stopping gateway sends, or forgets, after it has refused them. */
    @Test
    void aStoppingGatewayEmptiesItsQueueOnce() {
        queue(2, 2);
        assertThat(dispatcher.clear()).hasSize(2);
        assertThat(dispatcher.clear()).isEmpty();
        assertThat(dispatcher.takeDue(NOW + 600)).isEmpty();
    }

    /** Guards against the loss of peers that leaves their use or their queues behind. */
    @Test
    void halfOfTheGatewaysLostLeavesTheirSlotsFree() {
        use = new ServiceUse(60, 2, 70, 29);
        dispatcher.onPeerWaiting("vm-1", Map.of("llm", 50));
        offer(start(0));
        assertThat(dispatcher.isShort(NOW, "llm")).isTrue();

        dispatcher.removePeer("vm-1");
        use = new ServiceUse(60, 2, 10, 14);

        assertThat(dispatcher.slots(NOW + 1_000, "llm")).isEqualTo(60);
        assertThat(dispatcher.takeDue(NOW + 200)).hasSize(1);
        assertThat(dispatcher.isShort(NOW + 2_000, "llm")).isFalse();
        assertThat(dispatcher.status(NOW, "llm").peersWaiting()).isEqualTo(0);
    }

    /** Guards against gateways without links that each use all slots. */
    @ParameterizedTest
    @CsvSource({"0, 30, 2", "9, 30, 20", "14, 30, 60", "29, 30, 60", "0, 1, 60"})
    void aGatewayThatHearsFewPeersUsesItsPart(int reportingPeers, int live, int slots) {
        use = new ServiceUse(60, 0, 0, reportingPeers);
        liveVms = live;
        assertThat(dispatcher.slots(NOW, "llm")).isEqualTo(slots);
    }

    /** Guards against queues of peers that count twice, and against absurd counts. */
    @Test
    void aSecondReportReplacesTheFirst() {
        dispatcher.onPeerWaiting("vm-1", Map.of("llm", 7));
        dispatcher.onPeerWaiting("vm-1", Map.of("llm", 7));
        dispatcher.onPeerWaiting("vm-2", Map.of("llm", Integer.MAX_VALUE));
        dispatcher.onPeerWaiting("vm-3", Map.of("llm", -5));
        assertThat(dispatcher.status(NOW, "llm").peersWaiting()).isEqualTo(407);
    }

    /** Guards against absurd program times that put a program first or last, or spoil the forecast of its route. */
    @ParameterizedTest
    @ValueSource(longs = {0, -5, Long.MAX_VALUE, Long.MIN_VALUE, 600_001})
    void absurdProgramTimesCountAsAbsent(long left) {
        use = new ServiceUse(60, 0, 0, 29);
        offer(start(0));
        assertThat(offer(start(0, "", OptionalLong.of(left)))).isInstanceOf(StartDecision.Send.class);
        assertThat(dispatcher.forecasts().rejectedValues()).isEqualTo(1);
        assertThat(dispatcher.forecasts().route("chat").objectiveMillis()).isEqualTo(4_000.0);
        ProgramStart absurd = start(0, "", OptionalLong.of(left));
        assertThat(dispatcher.forecasts().dueMillis(absurd)).isEqualTo(NOW + 4_000.0);
    }

    /** Guards against first turns of an account above its share that take the slots of the others. */
    @Test
    void anAccountAboveItsShareWaitsBehindTheOthers() {
        queue(2, 2);
        dispatcher.setShares((nowMillis, service, account) -> account.equals("large"));
        StartDecision decision = offer(start(0, "large", OptionalLong.of(4_000)));
        if (decision instanceof StartDecision.Wait) {
            List<QueueExit> due = dispatcher.takeDue(NOW + 600);
            assertThat(due.get(due.size() - 1).start().account()).isEqualTo("large");
            return;
        }
        assertThat(((StartDecision.Refuse) decision).code()).isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
    }

    /** Guards against a queue that grows without bound at a large service. */
    @Test
    void aFullQueueRefusesAtOnce() {
        use = new ServiceUse(20_000, 0, 24_500, 0);
        liveVms = 1;
        List<StartDecision> decisions =
                IntStream.range(0, 402).mapToObj(each -> offer(start(2))).toList();
        assertThat(dispatcher.waiting()).containsExactly("llm", 400);
        assertThat(((StartDecision.Refuse) decisions.get(401)).code()).isEqualTo(ResultCode.QUEUE_FULL);
    }

    /** Guards against refused callers that return together, and against times that callers do not honour. */
    @Test
    void refusedCallersReturnSpread() {
        use = new ServiceUse(60, 0, 100, 29);
        List<Long> times = IntStream.range(0, 60)
                .mapToObj(each -> offer(start(2)))
                .filter(StartDecision.Refuse.class::isInstance)
                .map(decision -> ((StartDecision.Refuse) decision).retryAfterMillis())
                .toList();
        assertThat(times.size()).isAtLeast(50);
        times.forEach(time -> assertThat(time).isAtMost(LEFT / 3));
        assertThat(times.stream().distinct().count()).isAtLeast(times.size() / 2);
    }
}
