package org.quetzalshunt.core.attempt;

import static com.google.common.truth.Truth.assertThat;
import static org.quetzalshunt.core.attempt.GateBench.ATTEMPT;
import static org.quetzalshunt.core.attempt.GateBench.EPOCH;
import static org.quetzalshunt.core.attempt.GateBench.LINK;
import static org.quetzalshunt.core.attempt.GateBench.SHARD;
import static org.quetzalshunt.core.attempt.GateBench.order;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.document.ServiceKind;

final class EndpointGateTest {
    private static final long OTHER_LINK = 2;

    // A stone lorry would be sent twice: an entry orders a call, its link breaks, and it orders the same attempt again
    // on a new link while the call runs, or after it ended. The copy must only fetch the frames.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void copyOfAnOrderNeverRunsAgain(boolean afterEnd) {
        GateBench bench =
                GateBench.of(ServiceKind.PLAIN).start(false).head(0, 200).data(0, "a");
        if (afterEnd) {
            bench.data(0, "b").closed(0);
        }
        bench.gate.linkClosed(LINK, bench.now);
        bench.gate.start(OTHER_LINK, order(ATTEMPT, EPOCH, false), bench.now);
        if (!afterEnd) {
            bench.data(0, "b").closed(0);
        }
        assertThat(bench.all(GateOutput.StartRun.class)).hasSize(1);
        assertThat(bench.chunks(OTHER_LINK)).containsExactly("0:a", "1:b").inOrder();
        assertThat(bench.outcome(OTHER_LINK)).isEqualTo("OK RAN");
    }

    // A call that was answered is ordered again half an hour later, by a copy that lay in a paused entry. Its frames
    // are long gone from memory, but its id is not, so that it still does not run.
    @Test
    void lateCopyAfterTheFramesAreGoneDoesNotRun() {
        GateBench bench =
                GateBench.of(ServiceKind.PLAIN).start(false).head(0, 200).closed(0);
        bench.now += 1_800_000;
        bench.pass(0);
        bench.gate.start(OTHER_LINK, order(ATTEMPT, EPOCH, false), bench.now);
        assertThat(bench.all(GateOutput.StartRun.class)).hasSize(1);
        assertThat(bench.outcome(OTHER_LINK)).isEqualTo("OUTCOME_UNKNOWN RAN");
        assertThat(bench.gate.counts().finished()).isEqualTo(0);
    }

    // A caller hangs up; the entry's cancel goes out on a new link and arrives before the order, which was stuck in
    // the old one. The order comes last and must not run.
    @Test
    void orderAfterItsCancelDoesNotRun() {
        GateBench bench = GateBench.of(ServiceKind.ENGINE);
        bench.gate.cancel(OTHER_LINK, ATTEMPT, bench.now);
        bench.start(true);
        assertThat(bench.all(GateOutput.StartRun.class)).isEmpty();
        assertThat(bench.outcome(LINK)).isEqualTo("CANCELLED UNKNOWN");
    }

    // A caller hangs up in mid-answer. The engine is told, and the words that it still had on the way reach nobody.
    @Test
    void lateFramesOfACancelledAttemptAreDropped() {
        GateBench bench =
                GateBench.of(ServiceKind.ENGINE).start(true).head(0, 200).data(0, "a");
        bench.gate.cancel(LINK, ATTEMPT, bench.now);
        bench.data(0, "late").done(0);
        assertThat(bench.chunks(LINK)).containsExactly("0:a");
        assertThat(bench.all(GateOutput.StopRun.class)).hasSize(1);
        assertThat(bench.outcome(LINK)).isEqualTo("CANCELLED RAN");
    }

    // The link to an entry breaks in mid-answer, and another link resumes from the chunk after the last that arrived.
    // The caller gets each chunk once; the first link's late cancel no longer counts.
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void answerIsResumedOnAnotherLink(int from) {
        GateBench bench =
                GateBench.of(ServiceKind.ENGINE).start(true).head(0, 200).data(0, "a", "b");
        bench.gate.resume(OTHER_LINK, ATTEMPT, from);
        bench.gate.cancel(LINK, ATTEMPT, bench.now);
        bench.data(0, "c").done(0);
        List<String> all = List.of("0:a", "1:b", "2:c");
        assertThat(bench.chunks(OTHER_LINK)).isEqualTo(all.subList(from, all.size()));
        assertThat(bench.result(OTHER_LINK).orElseThrow().chunks()).isEqualTo(all.size());
        assertThat(bench.all(GateOutput.SendHead.class)).hasSize(from == 0 ? 2 : 1);
        assertThat(bench.outcome(LINK)).isEmpty();
    }

    // A sidecar restarted and an entry asks for an attempt of the former process. It may have run there: nothing
    // else would be true.
    @Test
    void unknownAttemptIsOfUnknownOutcome() {
        GateBench bench = GateBench.of(ServiceKind.ENGINE);
        bench.gate.resume(LINK, ATTEMPT, 0);
        assertThat(bench.outcome(LINK)).isEqualTo("OUTCOME_UNKNOWN UNKNOWN");
        assertThat(bench.result(LINK).orElseThrow().chunks()).isEqualTo(0);
    }

    // An entry is paused past its lease; another takes the shard over and orders work here. The first wakes up and
    // goes on as owner: its new order is refused, its repeatable attempt has been stopped, and its call that must not
    // be repeated ran to the end. The order of an owner is judged by epochs alone, no clock.
    @ParameterizedTest
    @CsvSource({"true, STALE_EPOCH RAN, 1", "false, OK RAN, 0"})
    void pausedOwnerIsHarmless(boolean repeatable, String outcomeOfRunning, int stopped) {
        GateBench bench = GateBench.of(ServiceKind.PLAIN).start(repeatable).head(0, 200);
        bench.gate.start(OTHER_LINK, order(ATTEMPT + 1, EPOCH + 1, true), bench.now);
        bench.closed(0);
        assertThat(bench.outcome(LINK)).isEqualTo(outcomeOfRunning);
        assertThat(bench.all(GateOutput.StopRun.class)).hasSize(stopped);
        bench.gate.start(LINK, order(ATTEMPT + 2, EPOCH, repeatable), bench.now);
        assertThat(bench.outcome(LINK)).isEqualTo("STALE_EPOCH NOT_RUN");
        bench.gate.start(LINK, order(ATTEMPT, EPOCH, repeatable), bench.now);
        assertThat(bench.outcome(LINK)).isEqualTo("STALE_EPOCH RAN");
    }

    // An order waited in a queue until nobody can use its answer; running it would waste the endpoint.
    @Test
    void orderWithoutTimeLeftDoesNotRun() {
        GateBench bench = GateBench.of(ServiceKind.ENGINE);
        AttemptOrder late = new AttemptOrder(
                ATTEMPT, SHARD, EPOCH, "program", "POST", "/", Map.of(), new byte[0], 0, 0, 1, true, 1);
        bench.gate.start(LINK, late, bench.now);
        assertThat(bench.all(GateOutput.StartRun.class)).isEmpty();
        assertThat(bench.outcome(LINK)).isEqualTo("DEADLINE_PASSED NOT_RUN");
    }

    // An engine hangs, or the connection is half-open after a cable was pulled: TCP shows neither. The attempt is
    // given up when no word came for its stall time; a plain call that must not be repeated may have run.
    @ParameterizedTest
    @CsvSource({
        "ENGINE, true, ENDPOINT_STALLED RAN",
        "ENGINE, false, ENDPOINT_STALLED RAN",
        "PLAIN, true, ENDPOINT_STALLED RAN",
        "PLAIN, false, OUTCOME_UNKNOWN UNKNOWN"
    })
    void hangIsFoundByMissingProgress(ServiceKind kind, boolean repeatable, String outcome) {
        GateBench bench = GateBench.of(kind).start(repeatable).pass(GateBench.STALL_MILLIS - 100);
        assertThat(bench.outcome(LINK)).isEmpty();
        bench.pass(200);
        assertThat(bench.outcome(LINK)).isEqualTo(outcome);
        assertThat(bench.all(GateOutput.StopRun.class)).hasSize(1);
    }

    // A slow engine gives a word each second and a half. It makes progress, so it is not given up before the deadline.
    @Test
    void slowAnswerEndsAtItsDeadlineOnly() {
        GateBench bench = GateBench.of(ServiceKind.ENGINE).start(true).head(0, 200);
        for (int word = 0; word < 13; word++) {
            bench.pass(1_500).data(0, "w");
        }
        assertThat(bench.outcome(LINK)).isEmpty();
        bench.pass(1_000);
        assertThat(bench.outcome(LINK)).isEqualTo("DEADLINE_PASSED_RUNNING RAN");
        assertThat(bench.result(LINK).orElseThrow().chunks()).isEqualTo(13);
    }

    // An entry dies. Its callers are gone with it, so what can be repeated elsewhere stops after a grace; a call that
    // must not be repeated runs to its end, so that its record is true.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void attemptWithoutReceiver(boolean repeatable) {
        GateBench bench = GateBench.of(ServiceKind.PLAIN).start(repeatable).head(0, 200);
        bench.gate.linkClosed(LINK, bench.now);
        for (int part = 0; part < 11; part++) {
            bench.pass(1_000).data(0, "p");
        }
        bench.closed(0);
        bench.gate.resume(OTHER_LINK, ATTEMPT, 0);
        assertThat(bench.outcome(OTHER_LINK)).isEqualTo(repeatable ? "CANCELLED RAN" : "OK RAN");
    }

    // A planned stop of the VM. What runs is finished, what comes is refused truly; at the end of the time allowed,
    // what is still open is cut and told as it is.
    @ParameterizedTest
    @CsvSource({"ENGINE, true, ANSWER_CUT RAN", "PLAIN, true, ANSWER_CUT RAN", "PLAIN, false, OUTCOME_UNKNOWN UNKNOWN"})
    void leavingFinishesWhatRunsAndRefusesTheRest(ServiceKind kind, boolean repeatable, String outcomeOfCut) {
        GateBench bench = GateBench.of(kind).start(repeatable);
        bench.gate.start(OTHER_LINK, order(ATTEMPT + 1, EPOCH, repeatable), bench.now);
        bench.gate.leave();
        bench.gate.start(LINK, order(ATTEMPT + 2, EPOCH, repeatable), bench.now);
        assertThat(bench.outcome(LINK)).isEqualTo("STOPPING NOT_RUN");
        bench.head(0, 200).data(0, "a").done(0).closed(0);
        assertThat(bench.outcome(LINK)).isEqualTo("OK RAN");
        bench.gate.cutAll(bench.now);
        assertThat(bench.outcome(OTHER_LINK)).isEqualTo(outcomeOfCut);
        assertThat(bench.gate.counts().running()).isEqualTo(0);
    }

    // A flood of short calls must not eat the memory of a small process.
    @ParameterizedTest
    @EnumSource(ServiceKind.class)
    void finishedRecordsAreBounded(ServiceKind kind) {
        GateBench bench = GateBench.of(kind);
        for (long attempt = 0; attempt < AttemptTable.MAXIMUM_FINISHED + 500; attempt++) {
            bench.gate.start(LINK, order(attempt, EPOCH, true), bench.now);
            bench.gate.cancel(LINK, attempt, bench.now);
        }
        bench.pass(0);
        assertThat(bench.gate.counts().finished()).isEqualTo(AttemptTable.MAXIMUM_FINISHED);
    }
}
