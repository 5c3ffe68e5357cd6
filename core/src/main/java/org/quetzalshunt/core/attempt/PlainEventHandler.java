package org.quetzalshunt.core.attempt;

import java.util.function.Consumer;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;

/**
 * Handles endpoint events of attempts at plain HTTP services. The response is forwarded as it arrives, whatever its
 * status, and is complete when the HTTP framing says so.
 */
final class PlainEventHandler implements EndpointEventHandler {
    private final FrameDelivery delivery;
    private final Consumer<GateOutput> outputs;

    PlainEventHandler(FrameDelivery delivery, Consumer<GateOutput> outputs) {
        this.delivery = delivery;
        this.outputs = outputs;
    }

    @Override
    public void apply(AttemptRecord record, EndpointEvent event, long nowMillis) {
        if (event instanceof EndpointEvent.Head head) {
            record.lastProgressMillis = nowMillis;
            delivery.forwardHead(record, head.status(), head.headers());
        } else if (event instanceof EndpointEvent.Data data) {
            record.lastProgressMillis = nowMillis;
            delivery.forwardChunk(record, data.data());
        } else if (event instanceof EndpointEvent.ResponseEnded) {
            delivery.finish(record, ResultCode.OK, Execution.RAN, nowMillis);
        } else if (event instanceof EndpointEvent.ResponseFailed failed) {
            onFailed(record, failed.mayHaveArrived(), nowMillis);
        }
    }

    private void onFailed(AttemptRecord record, boolean mayHaveArrived, long nowMillis) {
        if (!mayHaveArrived && !record.isResent) {
            delivery.finish(record, ResultCode.ENDPOINT_FAILED, Execution.NOT_RUN, nowMillis);
            return;
        }
        if (!record.order.repeatable()) {
            delivery.finish(record, ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, nowMillis);
            return;
        }
        if (record.hasHead || record.isResent) {
            delivery.finish(record, ResultCode.ENDPOINT_FAILED, Execution.RAN, nowMillis);
            return;
        }
        resend(record, nowMillis);
    }

    /**
     * Resends a request whose connection broke before any response, as when the service closes a keep-alive connection
     * just as it is reused. Done once at most, and only for a repeatable request without a forwarded response.
     */
    private void resend(AttemptRecord record, long nowMillis) {
        record.isResent = true;
        record.run++;
        outputs.accept(new GateOutput.StartRun(record.order, record.run, record.remainingMillis(nowMillis)));
    }
}
