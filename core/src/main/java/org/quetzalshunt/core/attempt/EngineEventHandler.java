package org.quetzalshunt.core.attempt;

import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;

/**
 * Handles endpoint events of attempts at inference engines. A response is complete only once the stream's end marker
 * has arrived. A stream that breaks before it is first resumed on the same engine, which needs no recomputation, and is
 * reported as cut only if the resumes fail.
 */
final class EngineEventHandler implements EndpointEventHandler {
    /**
     * The first resume is immediate, the later ones allow for a short network fault; a dead engine is detected after
     * half a second.
     */
    private static final long[] RESUME_DELAYS_MILLIS = {0, 100, 400};

    /** Sized for an engine's error message rather than a response; parts beyond it are discarded. */
    private static final int MAXIMUM_ERROR_BODY_BYTES = 64 * 1024;

    private static final int STATUS_OK = 200;
    private static final int STATUS_CLIENT_ERROR = 400;
    private static final int STATUS_NOT_FOUND = 404;
    private static final int STATUS_SERVER_ERROR = 500;
    private static final int STATUS_TOO_MANY_REQUESTS = 429;
    private static final int STATUS_UNAVAILABLE = 503;

    /**
     * Statuses with which an engine reports that it did not accept the request; no response head is forwarded for them.
     */
    private static final Set<Integer> NOT_ACCEPTED_STATUSES = Set.of(STATUS_TOO_MANY_REQUESTS, STATUS_UNAVAILABLE);

    private final FrameDelivery delivery;
    private final Consumer<GateOutput> outputs;

    EngineEventHandler(FrameDelivery delivery, Consumer<GateOutput> outputs) {
        this.delivery = delivery;
        this.outputs = outputs;
    }

    @Override
    public void apply(AttemptRecord record, EndpointEvent event, long nowMillis) {
        if (event instanceof EndpointEvent.Head head) {
            onHead(record, head, nowMillis);
        } else if (event instanceof EndpointEvent.Data data) {
            onData(record, data.data(), nowMillis);
        } else if (event instanceof EndpointEvent.ResponseMetadata responseMetadata) {
            responseMetadata.usage().ifPresent(usage -> record.usage = responseMetadata.usage());
            responseMetadata.finishReason().ifPresent(reason -> record.finishReason = responseMetadata.finishReason());
        } else if (event instanceof EndpointEvent.EndMarker) {
            delivery.finish(record, ResultCode.OK, Execution.RAN, nowMillis);
        } else if (event instanceof EndpointEvent.ResponseEnded) {
            onClosed(record, nowMillis);
        } else if (event instanceof EndpointEvent.ResponseFailed failed) {
            onFailed(record, failed.mayHaveArrived(), nowMillis);
        }
    }

    /** Requests the rest of the stream from the engine under a new run number. */
    void sendResume(AttemptRecord record, long nowMillis) {
        record.isResumePending = false;
        record.isResumeRun = true;
        record.runStatus = 0;
        record.run++;
        outputs.accept(new GateOutput.ResumeRun(
                record.attempt(), record.run, record.chunkCount, record.remainingMillis(nowMillis)));
    }

    private void onHead(AttemptRecord record, EndpointEvent.Head head, long nowMillis) {
        record.lastProgressMillis = nowMillis;
        record.runStatus = head.status();
        record.hasAnsweredSinceBreak = true;
        if (head.status() == STATUS_OK && !record.hasHead) {
            delivery.forwardHead(record, head.status(), head.headers());
        }
    }

    private void onData(AttemptRecord record, byte[] data, long nowMillis) {
        if (record.runStatus == STATUS_OK) {
            record.lastProgressMillis = nowMillis;
            record.resumeCount = 0;
            delivery.forwardChunk(record, data);
            return;
        }
        if (record.errorBody.size() + data.length <= MAXIMUM_ERROR_BODY_BYTES) {
            record.errorBody.writeBytes(data);
        }
    }

    private void onClosed(AttemptRecord record, long nowMillis) {
        if (record.runStatus == STATUS_OK) {
            resumeOrFinish(record, nowMillis);
            return;
        }
        if (!record.isResumeRun) {
            finishRefused(record, nowMillis);
            return;
        }
        if (record.runStatus == STATUS_NOT_FOUND) {
            onRequestNotFound(record, nowMillis);
            return;
        }
        resumeOrFinish(record, nowMillis);
    }

    private void finishRefused(AttemptRecord record, long nowMillis) {
        int status = record.runStatus;
        if (NOT_ACCEPTED_STATUSES.contains(status)) {
            delivery.finish(record, ResultCode.ENDPOINT_REFUSED, executionIfNotAccepted(record), nowMillis);
            return;
        }
        delivery.forwardHead(record, status, Map.of("content-type", "application/json"));
        if (record.errorBody.size() > 0) {
            delivery.forwardChunk(record, record.errorBody.toByteArray());
        }
        boolean clientError = status >= STATUS_CLIENT_ERROR && status < STATUS_SERVER_ERROR;
        Execution execution = clientError ? executionIfNotAccepted(record) : Execution.RAN;
        delivery.finish(record, ResultCode.ENDPOINT_REFUSED, execution, nowMillis);
    }

    /** Execution of a request that the engine did not accept; one that was sent twice may have run the first time. */
    private static Execution executionIfNotAccepted(AttemptRecord record) {
        return record.isResent ? Execution.UNKNOWN : Execution.NOT_RUN;
    }

    private void onFailed(AttemptRecord record, boolean mayHaveArrived, long nowMillis) {
        if (!mayHaveArrived && !record.isResumeRun && !record.isResent) {
            delivery.finish(record, ResultCode.ENDPOINT_FAILED, Execution.NOT_RUN, nowMillis);
            return;
        }
        resumeOrFinish(record, nowMillis);
    }

    private void resumeOrFinish(AttemptRecord record, long nowMillis) {
        if (record.resumeCount == 0) {
            record.hasAnsweredSinceBreak = false;
        }
        if (record.resumeCount >= RESUME_DELAYS_MILLIS.length) {
            // An engine that answered none of the resumes is dead; its owner counts ENDPOINT_FAILED against the
            // request.
            ResultCode code = record.hasAnsweredSinceBreak ? ResultCode.ANSWER_CUT : ResultCode.ENDPOINT_FAILED;
            delivery.finish(record, code, Execution.RAN, nowMillis);
            return;
        }
        record.resumeAtMillis = nowMillis + RESUME_DELAYS_MILLIS[record.resumeCount];
        record.resumeCount++;
        record.isResumePending = true;
        if (record.resumeAtMillis <= nowMillis) {
            sendResume(record, nowMillis);
        }
    }

    /**
     * Handles a resume that the engine answered with 404. This also happens if the engine closed a keep-alive
     * connection just as the request was sent, so that the request never arrived. The request is then resent once, if
     * it is repeatable and no chunk was forwarded.
     */
    private void onRequestNotFound(AttemptRecord record, long nowMillis) {
        if (!record.hasHead && !record.order.repeatable()) {
            delivery.finish(record, ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, nowMillis);
            return;
        }
        if (record.chunkCount > 0 || record.isResent || !record.order.repeatable()) {
            delivery.finish(record, ResultCode.ANSWER_CUT, Execution.RAN, nowMillis);
            return;
        }
        record.isResent = true;
        record.isResumeRun = false;
        record.errorBody.reset();
        record.runStatus = 0;
        record.run++;
        outputs.accept(new GateOutput.StartRun(record.order, record.run, record.remainingMillis(nowMillis)));
    }
}
