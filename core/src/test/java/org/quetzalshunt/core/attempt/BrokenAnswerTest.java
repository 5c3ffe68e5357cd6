package org.quetzalshunt.core.attempt;

import static com.google.common.truth.Truth.assertThat;
import static org.quetzalshunt.core.attempt.GateBench.LINK;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.document.ServiceKind;

/** What is said of an answer that the endpoint did not give whole, and what is tried before. */
final class BrokenAnswerTest {
    // A proxy between sidecar and engine drops the connection in mid-answer, or ends it politely without the end mark.
    // The engine still has the request: the caller gets the rest, no word twice, and hears of nothing.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void cutStreamIsResumedOnTheSameEngine(boolean politely) {
        GateBench bench =
                GateBench.of(ServiceKind.ENGINE).start(true).head(0, 200).data(0, "a", "b");
        if (politely) {
            bench.closed(0);
        } else {
            bench.failed(0, true);
        }
        List<GateOutput.ResumeRun> resumes = bench.all(GateOutput.ResumeRun.class);
        assertThat(resumes).hasSize(1);
        assertThat(resumes.get(0).fromEvent()).isEqualTo(2);
        bench.data(0, "late").head(1, 200).data(0, "late").done(0).data(1, "c").done(1);
        assertThat(bench.chunks(LINK)).containsExactly("0:a", "1:b", "2:c").inOrder();
        assertThat(bench.outcome(LINK)).isEqualTo("OK RAN");
        assertThat(bench.all(GateOutput.SendHead.class)).hasSize(1);
    }

    // The same cut each few words, more often than a resume is tried without progress: each one that brings a word
    // counts as progress, and the answer still comes whole.
    @Test
    void answerThatIsCutAgainAndAgainComesWhole() {
        GateBench bench = GateBench.of(ServiceKind.ENGINE).start(true).head(0, 200);
        for (int run = 0; run < 10; run++) {
            bench.data(run, "w").failed(run, true).head(run + 1, 200);
        }
        bench.done(10);
        assertThat(bench.outcome(LINK)).isEqualTo("OK RAN");
        assertThat(bench.result(LINK).orElseThrow().chunks()).isEqualTo(10);
    }

    // An engine dies while it runs a request. Nothing answers the resumes, so its owner hears that the endpoint
    // failed while running it, which counts against a request that kills engines.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void deadEngineIsToldAsFailedWhileRunning(boolean refusesConnections) {
        GateBench bench = GateBench.of(ServiceKind.ENGINE).start(true).failed(0, true);
        for (int run = 1; run <= 3; run++) {
            assertThat(bench.outcome(LINK)).isEmpty();
            bench.failed(run, !refusesConnections).pass(500);
        }
        assertThat(bench.outcome(LINK)).isEqualTo("ENDPOINT_FAILED RAN");
        assertThat(bench.all(GateOutput.StartRun.class)).hasSize(1);
    }

    // The engine lives but cannot give the rest: it has forgotten the request, or refuses. The owner hears that the
    // answer was cut, which does not count against the request.
    @ParameterizedTest
    @CsvSource({"404, 1", "503, 3"})
    void livingEngineWithoutTheRestIsToldAsCut(int status, int resumes) {
        GateBench bench = GateBench.of(ServiceKind.ENGINE)
                .start(true)
                .head(0, 200)
                .data(0, "a")
                .failed(0, true);
        for (int run = 1; run <= resumes; run++) {
            bench.head(run, status).closed(run).pass(500);
        }
        assertThat(bench.outcome(LINK)).isEqualTo("ANSWER_CUT RAN");
        assertThat(bench.result(LINK).orElseThrow().chunks()).isEqualTo(1);
    }

    // A kept connection is closed by the engine at the moment of its use, so the request never arrived; or it did and
    // the engine restarted. A repeatable request is sent once more, once; another one must not be.
    @ParameterizedTest
    @CsvSource({"true, 2, ENDPOINT_REFUSED UNKNOWN", "false, 1, OUTCOME_UNKNOWN UNKNOWN"})
    void requestThatTheEngineNeverSawIsSentOnceMoreIfRepeatable(boolean repeatable, int sent, String outcome) {
        GateBench bench = GateBench.of(ServiceKind.ENGINE)
                .start(repeatable)
                .failed(0, true)
                .head(1, 404)
                .closed(1)
                .head(2, 503)
                .closed(2);
        assertThat(bench.all(GateOutput.StartRun.class)).hasSize(sent);
        assertThat(bench.outcome(LINK)).isEqualTo(outcome);
    }

    // What an engine says before any word decides whether another may be asked, so "not run" must be true.
    @ParameterizedTest
    @CsvSource({
        "503, ENDPOINT_REFUSED NOT_RUN, 0",
        "429, ENDPOINT_REFUSED NOT_RUN, 0",
        "400, ENDPOINT_REFUSED NOT_RUN, 1",
        "500, ENDPOINT_REFUSED RAN, 1"
    })
    void refusalOfAnEngine(int status, String outcome, int chunks) {
        GateBench bench = GateBench.of(ServiceKind.ENGINE)
                .start(true)
                .head(0, status)
                .data(0, "{", "}")
                .closed(0);
        assertThat(bench.outcome(LINK)).isEqualTo(outcome);
        assertThat(bench.chunks(LINK)).hasSize(chunks);
    }

    // An endpoint is gone before anything was sent: the connection is refused. Nothing ran, so another may be tried.
    @ParameterizedTest
    @CsvSource({"ENGINE, true", "PLAIN, true", "PLAIN, false"})
    void refusedConnectionIsNotRun(ServiceKind kind, boolean repeatable) {
        GateBench bench = GateBench.of(kind).start(repeatable).failed(0, false);
        assertThat(bench.outcome(LINK)).isEqualTo("ENDPOINT_FAILED NOT_RUN");
    }

    // A plain service runs a call and its connection breaks before the answer. Billing the family again is worse than
    // saying that the outcome is not known; a question may be asked again, if no part of an answer was passed on.
    @ParameterizedTest
    @CsvSource({
        "false, false, 1, OUTCOME_UNKNOWN UNKNOWN",
        "false, true, 1, OUTCOME_UNKNOWN UNKNOWN",
        "true, false, 2, ENDPOINT_FAILED RAN",
        "true, true, 1, ENDPOINT_FAILED RAN"
    })
    void plainCallWhoseConnectionBreaks(boolean repeatable, boolean headCame, int sent, String outcome) {
        GateBench bench = GateBench.of(ServiceKind.PLAIN).start(repeatable);
        if (headCame) {
            bench.head(0, 200);
        }
        bench.failed(0, true).failed(1, false);
        assertThat(bench.all(GateOutput.StartRun.class)).hasSize(sent);
        assertThat(bench.outcome(LINK)).isEqualTo(outcome);
    }

    // A huge answer of a plain service is passed on whole, but not kept: memory for a resume is bounded, and a
    // receiver that lost its link hears that the answer was cut.
    @Test
    void answerTooLargeToKeepCannotBeResumed() {
        GateBench bench = GateBench.of(ServiceKind.PLAIN).start(true).head(0, 200);
        String megabyte = "x".repeat(1024 * 1024);
        for (int part = 0; part < 10; part++) {
            bench.data(0, megabyte);
        }
        bench.gate.resume(2, GateBench.ATTEMPT, 3);
        bench.closed(0);
        assertThat(bench.chunks(LINK)).hasSize(10);
        assertThat(bench.outcome(LINK)).isEqualTo("OK RAN");
        assertThat(bench.outcome(2)).isEqualTo("ANSWER_CUT RAN");
    }
}
