package org.quetzalshunt.core.attempt;

import static com.google.common.truth.Truth.assertThat;
import static org.quetzalshunt.core.attempt.GateHarness.ATTEMPT;
import static org.quetzalshunt.core.attempt.GateHarness.EPOCH;
import static org.quetzalshunt.core.attempt.GateHarness.LINK;
import static org.quetzalshunt.core.attempt.GateHarness.SHARD;
import static org.quetzalshunt.core.attempt.GateHarness.order;

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

    // A non-repeatable call would be sent twice: the link of an entry process breaks, and it orders the same attempt
    // again on a new link while the call runs or after it ended. The duplicate order must only fetch the frames.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void duplicateOrderIsNotRunAgain(boolean afterEnd) {
        GateHarness harness =
                GateHarness.of(ServiceKind.PLAIN).start(false).head(0, 200).data(0, "a");
        if (afterEnd) {
            harness.data(0, "b").closed(0);
        }
        harness.gate.linkClosed(LINK, harness.now);
        harness.gate.start(OTHER_LINK, order(ATTEMPT, EPOCH, false), harness.now);
        if (!afterEnd) {
            harness.data(0, "b").closed(0);
        }
        assertThat(harness.outputsOf(GateOutput.StartRun.class)).hasSize(1);
        assertThat(harness.chunks(OTHER_LINK)).containsExactly("0:a", "1:b").inOrder();
        assertThat(harness.outcome(OTHER_LINK)).isEqualTo("OK RAN");
    }

    // A paused entry process sends a duplicate order half an hour after the call was answered. The frames have been
    // evicted, but the attempt id is still cached, so the call must not run again.
    @Test
    void lateDuplicateAfterFrameEvictionIsNotRun() {
        GateHarness harness =
                GateHarness.of(ServiceKind.PLAIN).start(false).head(0, 200).closed(0);
        harness.now += 1_800_000;
        harness.advance(0);
        harness.gate.start(OTHER_LINK, order(ATTEMPT, EPOCH, false), harness.now);
        assertThat(harness.outputsOf(GateOutput.StartRun.class)).hasSize(1);
        assertThat(harness.outcome(OTHER_LINK)).isEqualTo("OUTCOME_UNKNOWN RAN");
        assertThat(harness.gate.counts().finished()).isEqualTo(0);
    }

    // A caller disconnects. The cancel is sent on a new link and arrives before the order, which was delayed on the old
    // link. The order must not run when it arrives.
    @Test
    void orderThatArrivesAfterItsCancelIsNotRun() {
        GateHarness harness = GateHarness.of(ServiceKind.ENGINE);
        harness.gate.cancel(OTHER_LINK, ATTEMPT, harness.now);
        harness.start(true);
        assertThat(harness.outputsOf(GateOutput.StartRun.class)).isEmpty();
        assertThat(harness.outcome(LINK)).isEqualTo("CANCELLED UNKNOWN");
    }

    // A caller disconnects during the response. The request must be stopped at the engine, and tokens that still arrive
    // must not be forwarded.
    @Test
    void lateFramesOfACancelledAttemptAreDropped() {
        GateHarness harness =
                GateHarness.of(ServiceKind.ENGINE).start(true).head(0, 200).data(0, "a");
        harness.gate.cancel(LINK, ATTEMPT, harness.now);
        harness.data(0, "late").done(0);
        assertThat(harness.chunks(LINK)).containsExactly("0:a");
        assertThat(harness.outputsOf(GateOutput.StopRun.class)).hasSize(1);
        assertThat(harness.outcome(LINK)).isEqualTo("CANCELLED RAN");
    }

    // The link to an entry process breaks during the response, and another link resumes from the chunk after the last
    // one received. Each chunk must be delivered once, and a late cancel on the first link must be ignored.
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void responseIsResumedOnAnotherLink(int from) {
        GateHarness harness =
                GateHarness.of(ServiceKind.ENGINE).start(true).head(0, 200).data(0, "a", "b");
        harness.gate.resume(OTHER_LINK, ATTEMPT, from);
        harness.gate.cancel(LINK, ATTEMPT, harness.now);
        harness.data(0, "c").done(0);
        List<String> all = List.of("0:a", "1:b", "2:c");
        assertThat(harness.chunks(OTHER_LINK)).isEqualTo(all.subList(from, all.size()));
        assertThat(harness.result(OTHER_LINK).orElseThrow().chunks()).isEqualTo(all.size());
        assertThat(harness.outputsOf(GateOutput.SendHead.class)).hasSize(from == 0 ? 2 : 1);
        assertThat(harness.outcome(LINK)).isEmpty();
    }

    // A sidecar restarts and an entry process requests an attempt of the former process. The attempt may have run
    // there, so any other result than an unknown outcome could be wrong.
    @Test
    void attemptOfAFormerProcessHasUnknownOutcome() {
        GateHarness harness = GateHarness.of(ServiceKind.ENGINE);
        harness.gate.resume(LINK, ATTEMPT, 0);
        assertThat(harness.outcome(LINK)).isEqualTo("OUTCOME_UNKNOWN UNKNOWN");
        assertThat(harness.result(LINK).orElseThrow().chunks()).isEqualTo(0);
    }

    // An entry process is paused past its lease, and another one takes over the shard and sends orders. When the first
    // one resumes, its new order must be refused, its repeatable attempt must have been stopped, and its non-repeatable
    // call must have run to the end. Only epochs decide this, no clock.
    @ParameterizedTest
    @CsvSource({"true, STALE_EPOCH RAN, 1", "false, OK RAN, 0"})
    void ordersOfAPausedFormerOwnerAreRefused(boolean repeatable, String outcomeOfRunning, int stopped) {
        GateHarness harness =
                GateHarness.of(ServiceKind.PLAIN).start(repeatable).head(0, 200);
        harness.gate.start(OTHER_LINK, order(ATTEMPT + 1, EPOCH + 1, true), harness.now);
        harness.closed(0);
        assertThat(harness.outcome(LINK)).isEqualTo(outcomeOfRunning);
        assertThat(harness.outputsOf(GateOutput.StopRun.class)).hasSize(stopped);
        harness.gate.start(LINK, order(ATTEMPT + 2, EPOCH, repeatable), harness.now);
        assertThat(harness.outcome(LINK)).isEqualTo("STALE_EPOCH NOT_RUN");
        harness.gate.start(LINK, order(ATTEMPT, EPOCH, repeatable), harness.now);
        assertThat(harness.outcome(LINK)).isEqualTo("STALE_EPOCH RAN");
    }

    // An order was queued until its deadline had passed. Running it would waste the endpoint's capacity.
    @Test
    void orderPastItsDeadlineIsNotRun() {
        GateHarness harness = GateHarness.of(ServiceKind.ENGINE);
        AttemptOrder late = new AttemptOrder(
                ATTEMPT, SHARD, EPOCH, "program", "POST", "/", Map.of(), new byte[0], 0, 0, 1, true, 1);
        harness.gate.start(LINK, late, harness.now);
        assertThat(harness.outputsOf(GateOutput.StartRun.class)).isEmpty();
        assertThat(harness.outcome(LINK)).isEqualTo("DEADLINE_PASSED NOT_RUN");
    }

    // An engine hangs, or the connection is half-open after a cable was pulled, and TCP reports neither. The attempt
    // must be aborted after its stall time without progress; a non-repeatable call to a plain service may have run.
    @ParameterizedTest
    @CsvSource({
        "ENGINE, true, ENDPOINT_STALLED RAN",
        "ENGINE, false, ENDPOINT_STALLED RAN",
        "PLAIN, true, ENDPOINT_STALLED RAN",
        "PLAIN, false, OUTCOME_UNKNOWN UNKNOWN"
    })
    void stalledAttemptIsAborted(ServiceKind kind, boolean repeatable, String outcome) {
        GateHarness harness = GateHarness.of(kind).start(repeatable).advance(GateHarness.STALL_MILLIS - 100);
        assertThat(harness.outcome(LINK)).isEmpty();
        harness.advance(200);
        assertThat(harness.outcome(LINK)).isEqualTo(outcome);
        assertThat(harness.outputsOf(GateOutput.StopRun.class)).hasSize(1);
    }

    // A slow engine sends a token every 1.5 s. That is progress, so the attempt must not be aborted before its
    // deadline.
    @Test
    void slowResponseIsNotAbortedAsStalled() {
        GateHarness harness = GateHarness.of(ServiceKind.ENGINE).start(true).head(0, 200);
        for (int word = 0; word < 13; word++) {
            harness.advance(1_500).data(0, "w");
        }
        assertThat(harness.outcome(LINK)).isEmpty();
        harness.advance(1_000);
        assertThat(harness.outcome(LINK)).isEqualTo("DEADLINE_PASSED_RUNNING RAN");
        assertThat(harness.result(LINK).orElseThrow().chunks()).isEqualTo(13);
    }

    // An entry process dies, and its callers lose their connections. A repeatable attempt must stop after the grace
    // period; a non-repeatable call must run to its end, so that the recorded outcome is true.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void attemptWithoutReceiverStopsOnlyIfRepeatable(boolean repeatable) {
        GateHarness harness =
                GateHarness.of(ServiceKind.PLAIN).start(repeatable).head(0, 200);
        harness.gate.linkClosed(LINK, harness.now);
        for (int part = 0; part < 11; part++) {
            harness.advance(1_000).data(0, "p");
        }
        harness.closed(0);
        harness.gate.resume(OTHER_LINK, ATTEMPT, 0);
        assertThat(harness.outcome(OTHER_LINK)).isEqualTo(repeatable ? "CANCELLED RAN" : "OK RAN");
    }

    // During a planned stop of the Vm, running attempts must finish and new orders must be refused as not run. Attempts
    // that still run at the end of the drain period must be aborted with their true outcome.
    @ParameterizedTest
    @CsvSource({"ENGINE, true, ANSWER_CUT RAN", "PLAIN, true, ANSWER_CUT RAN", "PLAIN, false, OUTCOME_UNKNOWN UNKNOWN"})
    void plannedStopFinishesRunningAttemptsAndRefusesNewOrders(
            ServiceKind kind, boolean repeatable, String outcomeOfAborted) {
        GateHarness harness = GateHarness.of(kind).start(repeatable);
        harness.gate.start(OTHER_LINK, order(ATTEMPT + 1, EPOCH, repeatable), harness.now);
        harness.gate.startDraining();
        harness.gate.start(LINK, order(ATTEMPT + 2, EPOCH, repeatable), harness.now);
        assertThat(harness.outcome(LINK)).isEqualTo("STOPPING NOT_RUN");
        harness.head(0, 200).data(0, "a").done(0).closed(0);
        assertThat(harness.outcome(LINK)).isEqualTo("OK RAN");
        harness.gate.abortAll(harness.now);
        assertThat(harness.outcome(OTHER_LINK)).isEqualTo(outcomeOfAborted);
        assertThat(harness.gate.counts().running()).isEqualTo(0);
    }

    // A flood of short calls must not exhaust the memory of a small process.
    @ParameterizedTest
    @EnumSource(ServiceKind.class)
    void finishedAttemptsAreBounded(ServiceKind kind) {
        GateHarness harness = GateHarness.of(kind);
        for (long attempt = 0; attempt < AttemptTable.MAXIMUM_FINISHED + 500; attempt++) {
            harness.gate.start(LINK, order(attempt, EPOCH, true), harness.now);
            harness.gate.cancel(LINK, attempt, harness.now);
        }
        harness.advance(0);
        assertThat(harness.gate.counts().finished()).isEqualTo(AttemptTable.MAXIMUM_FINISHED);
    }
}
