package org.quetzalshunt.core.decision;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;

final class SchedulerTest {
    private static final long DEADLINE_MILLIS = 60_000;

    private final Scheduler scheduler = Scheduler.create(SchedulerSettings.of("tt-south-a", 1, 7));

    @Test
    void requestRunsAndItsPrefixLocationIsRecorded() {
        scheduler.recordReport(0, endpoint("engine-1", false));

        assertThat(scheduler.offer(0, item(1), 10)).isEmpty();
        List<Dispatch> dispatches = scheduler.tick(0);
        assertThat(dispatches).hasSize(1);
        assertThat(dispatches.get(0).endpoint()).isEqualTo("engine-1");
        assertThat(scheduler.running()).isEqualTo(1);

        scheduler.recordFinish(1_000, 1, FinishedAttempt.ok(100, 0, 50, 100, 1_000));
        assertThat(scheduler.running()).isEqualTo(0);
        assertThat(scheduler.prefixEndpoint("program-1")).hasValue("engine-1");
        scheduler.removePrefixLocation("program-1");
        assertThat(scheduler.prefixEndpoint("program-1")).isEmpty();
    }

    @Test
    void endpointThatShutsDownGetsNoWorkAndTheQueuedRequestExpiresNotRun() {
        scheduler.recordReport(0, endpoint("engine-1", true));

        assertThat(scheduler.offer(0, item(1), 10)).isEmpty();
        assertThat(scheduler.tick(0)).isEmpty();
        List<ExpiredRequest> expired = scheduler.expire(DEADLINE_MILLIS);
        assertThat(expired).hasSize(1);
        assertThat(expired.get(0).refusal().execution()).isEqualTo(Execution.NOT_RUN);
        assertThat(scheduler.queued()).isEqualTo(0);
    }

    @Test
    void accountOverItsQueueLimitIsRefusedUntilARequestIsWithdrawn() {
        assertThat(scheduler.offer(0, item(1), 1)).isEmpty();
        assertThat(scheduler.offer(0, item(2), 1).orElseThrow().code()).isEqualTo(ResultCode.QUEUE_FULL);
        assertThat(scheduler.withdraw(1)).isTrue();
        assertThat(scheduler.withdraw(1)).isFalse();
        assertThat(scheduler.offer(0, item(2), 1)).isEmpty();
    }

    private static EndpointState endpoint(String name, boolean leaving) {
        return new EndpointState(name, "tutor", "tt-south-a", 8, 0, 0, 0, 0, leaving, true);
    }

    private static WorkItem item(long id) {
        return new WorkItem(
                id, "tutor", "school", 1, "program-" + id, "program-" + id, 0, 100, 50, 0, DEADLINE_MILLIS, 0, "");
    }
}
