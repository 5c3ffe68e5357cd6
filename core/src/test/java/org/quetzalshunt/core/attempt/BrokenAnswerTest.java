package org.quetzalshunt.core.attempt;

import static com.google.common.truth.Truth.assertThat;
import static org.quetzalshunt.core.attempt.GateHarness.LINK;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.document.ServiceKind;

/** Results, resumes and resends of attempts whose response was cut, refused, or too large to retain. */
final class BrokenAnswerTest {
    // A proxy between sidecar and engine drops the connection during a response, or closes it normally without the end
    // marker. The engine still has the request, so the caller must get the rest without duplicate chunks and without an
    // error.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void cutStreamIsResumedOnTheSameEngine(boolean closedNormally) {
        GateHarness harness =
                GateHarness.of(ServiceKind.ENGINE).start(true).head(0, 200).data(0, "a", "b");
        if (closedNormally) {
            harness.closed(0);
        } else {
            harness.failed(0, true);
        }
        List<GateOutput.ResumeRun> resumes = harness.outputsOf(GateOutput.ResumeRun.class);
        assertThat(resumes).hasSize(1);
        assertThat(resumes.get(0).fromEvent()).isEqualTo(2);
        harness.data(0, "late")
                .head(1, 200)
                .data(0, "late")
                .done(0)
                .data(1, "c")
                .done(1);
        assertThat(harness.chunks(LINK)).containsExactly("0:a", "1:b", "2:c").inOrder();
        assertThat(harness.outcome(LINK)).isEqualTo("OK RAN");
        assertThat(harness.outputsOf(GateOutput.SendHead.class)).hasSize(1);
    }

    // A response is cut after each of its ten tokens, which exceeds the limit of consecutive resumes without progress.
    // A resume that brings a token must count as progress, so that the response is completed.
    @Test
    void repeatedlyCutResponseIsCompleted() {
        GateHarness harness = GateHarness.of(ServiceKind.ENGINE).start(true).head(0, 200);
        for (int run = 0; run < 10; run++) {
            harness.data(run, "w").failed(run, true).head(run + 1, 200);
        }
        harness.done(10);
        assertThat(harness.outcome(LINK)).isEqualTo("OK RAN");
        assertThat(harness.result(LINK).orElseThrow().chunks()).isEqualTo(10);
    }

    // An engine dies while it runs a request, and the resumes get no answer. The owner must get ENDPOINT_FAILED and
    // RAN, by which it counts the engine failures of each request to detect requests that crash engines.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void deadEngineIsReportedAsFailedWhileRunning(boolean refusesConnections) {
        GateHarness harness = GateHarness.of(ServiceKind.ENGINE).start(true).failed(0, true);
        for (int run = 1; run <= 3; run++) {
            assertThat(harness.outcome(LINK)).isEmpty();
            harness.failed(run, !refusesConnections).advance(500);
        }
        assertThat(harness.outcome(LINK)).isEqualTo("ENDPOINT_FAILED RAN");
        assertThat(harness.outputsOf(GateOutput.StartRun.class)).hasSize(1);
    }

    // The engine is alive but cannot send the rest, because it no longer has the request or refuses the resume. The
    // owner must get ANSWER_CUT, which does not count against the request.
    @ParameterizedTest
    @CsvSource({"404, 1", "503, 3"})
    void responseThatALiveEngineCannotResumeIsReportedAsCut(int status, int resumes) {
        GateHarness harness = GateHarness.of(ServiceKind.ENGINE)
                .start(true)
                .head(0, 200)
                .data(0, "a")
                .failed(0, true);
        for (int run = 1; run <= resumes; run++) {
            harness.head(run, status).closed(run).advance(500);
        }
        assertThat(harness.outcome(LINK)).isEqualTo("ANSWER_CUT RAN");
        assertThat(harness.result(LINK).orElseThrow().chunks()).isEqualTo(1);
    }

    // The engine closes a keep-alive connection just as a request is sent, so that the request never arrives; or the
    // request arrived and the engine restarted. A repeatable request must be resent exactly once, any other request
    // never.
    @ParameterizedTest
    @CsvSource({"true, 2, ENDPOINT_REFUSED UNKNOWN", "false, 1, OUTCOME_UNKNOWN UNKNOWN"})
    void requestUnknownToTheEngineIsResentOnceIfRepeatable(boolean repeatable, int sent, String outcome) {
        GateHarness harness = GateHarness.of(ServiceKind.ENGINE)
                .start(repeatable)
                .failed(0, true)
                .head(1, 404)
                .closed(1)
                .head(2, 503)
                .closed(2);
        assertThat(harness.outputsOf(GateOutput.StartRun.class)).hasSize(sent);
        assertThat(harness.outcome(LINK)).isEqualTo(outcome);
    }

    // Another endpoint may be tried after NOT_RUN, so a refusal before the first token must be reported as NOT_RUN only
    // if its status shows that the engine did not run the request.
    @ParameterizedTest
    @CsvSource({
        "503, ENDPOINT_REFUSED NOT_RUN, 0",
        "429, ENDPOINT_REFUSED NOT_RUN, 0",
        "400, ENDPOINT_REFUSED NOT_RUN, 1",
        "500, ENDPOINT_REFUSED RAN, 1"
    })
    void refusalIsReportedAsNotRunOnlyIfRequestDidNotRun(int status, String outcome, int chunks) {
        GateHarness harness = GateHarness.of(ServiceKind.ENGINE)
                .start(true)
                .head(0, status)
                .data(0, "{", "}")
                .closed(0);
        assertThat(harness.outcome(LINK)).isEqualTo(outcome);
        assertThat(harness.chunks(LINK)).hasSize(chunks);
    }

    // An endpoint refuses the connection before anything was sent. Nothing ran, so another endpoint may be tried.
    @ParameterizedTest
    @CsvSource({"ENGINE, true", "PLAIN, true", "PLAIN, false"})
    void refusedConnectionIsReportedAsNotRun(ServiceKind kind, boolean repeatable) {
        GateHarness harness = GateHarness.of(kind).start(repeatable).failed(0, false);
        assertThat(harness.outcome(LINK)).isEqualTo("ENDPOINT_FAILED NOT_RUN");
    }

    // The connection breaks while a plain service runs a call. For a non-repeatable call, such as a payment, an unknown
    // outcome is better than a second run. A repeatable call is resent if no part of a response was forwarded.
    @ParameterizedTest
    @CsvSource({
        "false, false, 1, OUTCOME_UNKNOWN UNKNOWN",
        "false, true, 1, OUTCOME_UNKNOWN UNKNOWN",
        "true, false, 2, ENDPOINT_FAILED RAN",
        "true, true, 1, ENDPOINT_FAILED RAN"
    })
    void brokenPlainCallIsResentOnlyIfRepeatable(boolean repeatable, boolean headReceived, int sent, String outcome) {
        GateHarness harness = GateHarness.of(ServiceKind.PLAIN).start(repeatable);
        if (headReceived) {
            harness.head(0, 200);
        }
        harness.failed(0, true).failed(1, false);
        assertThat(harness.outputsOf(GateOutput.StartRun.class)).hasSize(sent);
        assertThat(harness.outcome(LINK)).isEqualTo(outcome);
    }

    // A very large response of a plain service must be forwarded completely but not retained, because memory for
    // replays is bounded. A receiver that lost its link must get ANSWER_CUT.
    @Test
    void responseTooLargeToRetainCannotBeResumed() {
        GateHarness harness = GateHarness.of(ServiceKind.PLAIN).start(true).head(0, 200);
        String megabyte = "x".repeat(1024 * 1024);
        for (int part = 0; part < 10; part++) {
            harness.data(0, megabyte);
        }
        harness.gate.resume(2, GateHarness.ATTEMPT, 3);
        harness.closed(0);
        assertThat(harness.chunks(LINK)).hasSize(10);
        assertThat(harness.outcome(LINK)).isEqualTo("OK RAN");
        assertThat(harness.outcome(2)).isEqualTo("ANSWER_CUT RAN");
    }
}
