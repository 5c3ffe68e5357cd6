package org.quetzalshunt.core.program;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;

final class IdempotencyCheckTest {
    private static final byte[] DIGEST = {1};

    private static AdmissionDecision repeat(int recordedStatus) {
        StoredAnswer answer = new StoredAnswer(recordedStatus, "text/plain", new byte[] {2});
        return IdempotencyCheck.againstStoredResult(
                new StoredResult("first", DIGEST, true, ResultCode.OK.number(), answer, 0), DIGEST);
    }

    /** Guards against a recorded status that is none, of an earlier version or another writer, that reaches a caller. */
    @ParameterizedTest
    @ValueSource(ints = {-1, 0, 99, 199, 600, Integer.MAX_VALUE})
    void recordedStatusThatIsNoneLeavesTheOutcomeUnknown(int status) {
        AdmissionDecision.Refused refused = (AdmissionDecision.Refused) repeat(status);

        assertThat(refused.refusal().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
        assertThat(refused.refusal().execution()).isEqualTo(Execution.UNKNOWN);
    }

    /** Guards against a recorded failure that is not answered with again. */
    @ParameterizedTest
    @ValueSource(ints = {200, 404, 503, 599})
    void recordedResponseIsSentAgain(int status) {
        assertThat(((AdmissionDecision.Replay) repeat(status)).answer().status())
                .isEqualTo(status);
    }
}
