package org.quetzalshunt.core.attempt;

import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;

/**
 * Engines: an answer is whole only when the stream's own end mark came. A stream that breaks before it is first
 * resumed on the same engine, which costs no computation, before the owner hears that it was cut.
 */
final class ChatRules implements RunRules {
    /** At once, then with room for a network hiccup; a dead engine is known after half a second. */
    private static final long[] RESUME_DELAYS_MILLIS = {0, 100, 400};

    /** An engine's error text, not an answer. */
    private static final int MAXIMUM_REFUSAL_BYTES = 64 * 1024;

    private static final int STATUS_OK = 200;
    private static final int STATUS_CLIENT_ERROR = 400;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_UNAVAILABLE = 503;

    /** Statuses by which an engine says that it took nothing up; they bring no head to the receiver. */
    private static final Set<Integer> NOT_TAKEN = Set.of(STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE);

    private final FrameDelivery delivery;
    private final Consumer<GateOutput> outputs;

    ChatRules(FrameDelivery delivery, Consumer<GateOutput> outputs) {
        this.delivery = delivery;
        this.outputs = outputs;
    }

    @Override
    public void apply(AttemptRecord record, EndpointEvent event, long nowMillis) {
        if (event instanceof EndpointEvent.Head head) {
            head(record, head, nowMillis);
        } else if (event instanceof EndpointEvent.Data data) {
            data(record, data.data(), nowMillis);
        } else if (event instanceof EndpointEvent.Counted counted) {
            counted.usage().ifPresent(usage -> record.usage = counted.usage());
            counted.finishReason().ifPresent(reason -> record.finishReason = counted.finishReason());
        } else if (event instanceof EndpointEvent.Done) {
            delivery.finish(record, ResultCode.OK, Execution.RAN, nowMillis);
        } else if (event instanceof EndpointEvent.Closed) {
            closed(record, nowMillis);
        } else if (event instanceof EndpointEvent.Failed failed) {
            failed(record, failed.mayHaveArrived(), nowMillis);
        }
    }

    /** Sends a resume that waited for its time. */
    void resumeNow(AttemptRecord record, long nowMillis) {
        record.resuming = false;
        record.runIsResume = true;
        record.runStatus = 0;
        record.run++;
        outputs.accept(new GateOutput.ResumeRun(
                record.attempt(), record.run, record.chunkCount, record.remainingMillis(nowMillis)));
    }

    private void head(AttemptRecord record, EndpointEvent.Head head, long nowMillis) {
        record.lastProgressMillis = nowMillis;
        record.runStatus = head.status();
        record.answeredSinceBreak = true;
        if (head.status() == STATUS_OK && !record.headSeen) {
            delivery.head(record, head.status(), head.headers());
        }
    }

    private void data(AttemptRecord record, byte[] data, long nowMillis) {
        if (record.runStatus == STATUS_OK) {
            record.lastProgressMillis = nowMillis;
            record.resumes = 0;
            delivery.chunk(record, data);
            return;
        }
        if (record.refusal.size() + data.length <= MAXIMUM_REFUSAL_BYTES) {
            record.refusal.writeBytes(data);
        }
    }

    private void closed(AttemptRecord record, long nowMillis) {
        if (record.runStatus == STATUS_OK) {
            brokeOff(record, nowMillis);
            return;
        }
        if (!record.runIsResume) {
            refused(record, nowMillis);
            return;
        }
        if (record.runStatus == STATUS_NOT_FOUND) {
            lost(record, nowMillis);
            return;
        }
        brokeOff(record, nowMillis);
    }

    private void refused(AttemptRecord record, long nowMillis) {
        int status = record.runStatus;
        if (NOT_TAKEN.contains(status)) {
            delivery.finish(record, ResultCode.ENDPOINT_REFUSED, notTaken(record), nowMillis);
            return;
        }
        delivery.head(record, status, Map.of("content-type", "application/json"));
        if (record.refusal.size() > 0) {
            delivery.chunk(record, record.refusal.toByteArray());
        }
        boolean clientError = status >= STATUS_CLIENT_ERROR && status < STATUS_SERVER_ERROR;
        Execution execution = clientError ? notTaken(record) : Execution.RAN;
        delivery.finish(record, ResultCode.ENDPOINT_REFUSED, execution, nowMillis);
    }

    /** A request that was sent twice may have run the first time. */
    private static Execution notTaken(AttemptRecord record) {
        return record.sentAgain ? Execution.UNKNOWN : Execution.NOT_RUN;
    }

    private void failed(AttemptRecord record, boolean mayHaveArrived, long nowMillis) {
        if (!mayHaveArrived && !record.runIsResume && !record.sentAgain) {
            delivery.finish(record, ResultCode.ENDPOINT_FAILED, Execution.NOT_RUN, nowMillis);
            return;
        }
        brokeOff(record, nowMillis);
    }

    private void brokeOff(AttemptRecord record, long nowMillis) {
        if (record.resumes == 0) {
            record.answeredSinceBreak = false;
        }
        if (record.resumes >= RESUME_DELAYS_MILLIS.length) {
            // An engine that answered none of the resumes is dead, which its owner counts against the request.
            ResultCode code = record.answeredSinceBreak ? ResultCode.ANSWER_CUT : ResultCode.ENDPOINT_FAILED;
            delivery.finish(record, code, Execution.RAN, nowMillis);
            return;
        }
        record.resumeAtMillis = nowMillis + RESUME_DELAYS_MILLIS[record.resumes];
        record.resumes++;
        record.resuming = true;
        if (record.resumeAtMillis <= nowMillis) {
            resumeNow(record, nowMillis);
        }
    }

    /**
     * The engine has no such request. Guards against a kept connection that the engine closed at the moment of its
     * use, so that the request never arrived: it is sent once more, if it is repeatable and nothing was passed on.
     */
    private void lost(AttemptRecord record, long nowMillis) {
        if (!record.headSeen && !record.order.repeatable()) {
            delivery.finish(record, ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, nowMillis);
            return;
        }
        if (record.chunkCount > 0 || record.sentAgain || !record.order.repeatable()) {
            delivery.finish(record, ResultCode.ANSWER_CUT, Execution.RAN, nowMillis);
            return;
        }
        record.sentAgain = true;
        record.runIsResume = false;
        record.refusal.reset();
        record.runStatus = 0;
        record.run++;
        outputs.accept(new GateOutput.StartRun(record.order, record.run, record.remainingMillis(nowMillis)));
    }
}
