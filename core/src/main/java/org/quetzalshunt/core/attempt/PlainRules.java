package org.quetzalshunt.core.attempt;

import java.util.function.Consumer;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;

/** Plain services: the answer is passed on as it comes, whatever its status; HTTP's own framing is the end mark. */
final class PlainRules implements RunRules {
    private final FrameDelivery delivery;
    private final Consumer<GateOutput> outputs;

    PlainRules(FrameDelivery delivery, Consumer<GateOutput> outputs) {
        this.delivery = delivery;
        this.outputs = outputs;
    }

    @Override
    public void apply(AttemptRecord record, EndpointEvent event, long nowMillis) {
        if (event instanceof EndpointEvent.Head head) {
            record.lastProgressMillis = nowMillis;
            delivery.head(record, head.status(), head.headers());
        } else if (event instanceof EndpointEvent.Data data) {
            record.lastProgressMillis = nowMillis;
            delivery.chunk(record, data.data());
        } else if (event instanceof EndpointEvent.Closed) {
            delivery.finish(record, ResultCode.OK, Execution.RAN, nowMillis);
        } else if (event instanceof EndpointEvent.Failed failed) {
            failed(record, failed.mayHaveArrived(), nowMillis);
        }
    }

    private void failed(AttemptRecord record, boolean mayHaveArrived, long nowMillis) {
        if (!mayHaveArrived && !record.sentAgain) {
            delivery.finish(record, ResultCode.ENDPOINT_FAILED, Execution.NOT_RUN, nowMillis);
            return;
        }
        if (!record.order.repeatable()) {
            delivery.finish(record, ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, nowMillis);
            return;
        }
        if (record.headSeen || record.sentAgain) {
            delivery.finish(record, ResultCode.ENDPOINT_FAILED, Execution.RAN, nowMillis);
            return;
        }
        sendAgain(record, nowMillis);
    }

    /**
     * Guards against a kept connection that the service closed at the moment of its use: it shows as a break before
     * any answer. Only for a repeatable request of which nothing was passed on, and once.
     */
    private void sendAgain(AttemptRecord record, long nowMillis) {
        record.sentAgain = true;
        record.run++;
        outputs.accept(new GateOutput.StartRun(record.order, record.run, record.remainingMillis(nowMillis)));
    }
}
