package org.quetzalshunt.core.attempt;

import java.util.Optional;
import java.util.function.Consumer;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;

/**
 * Time-driven handling of attempts: deadlines, stalls, missing receivers, delayed resumes, and eviction of finished
 * attempts.
 */
final class AttemptTimers {
    private final GateSettings settings;
    private final AttemptTable table;
    private final DeduplicationCache deduplicationCache;
    private final FrameDelivery delivery;
    private final EngineEventHandler engineEventHandler;
    private final Consumer<GateOutput> outputs;

    AttemptTimers(
            GateSettings settings,
            AttemptTable table,
            DeduplicationCache deduplicationCache,
            FrameDelivery delivery,
            EngineEventHandler engineEventHandler,
            Consumer<GateOutput> outputs) {
        this.settings = settings;
        this.table = table;
        this.deduplicationCache = deduplicationCache;
        this.delivery = delivery;
        this.engineEventHandler = engineEventHandler;
        this.outputs = outputs;
    }

    void tick(long nowMillis) {
        if (table.runningCount() > 0) {
            table.listRunning().forEach(record -> tick(record, nowMillis));
        }
        evictFinished(nowMillis);
    }

    /** Ends a running attempt. Later events from the endpoint are ignored. */
    void stop(AttemptRecord record, ResultCode code, long nowMillis) {
        outputs.accept(new GateOutput.StopRun(record.attempt()));
        delivery.finish(record, code, Execution.RAN, nowMillis);
    }

    /**
     * Ends an attempt that may still be running at the endpoint. The outcome of a non-repeatable call to a plain
     * service is then unknown; any other attempt ends with the given code.
     */
    void abort(AttemptRecord record, ResultCode codeIfKnown, long nowMillis) {
        if (record.order.repeatable() || settings.kind() == ServiceKind.ENGINE) {
            stop(record, codeIfKnown, nowMillis);
            return;
        }
        outputs.accept(new GateOutput.StopRun(record.attempt()));
        delivery.finish(record, ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, nowMillis);
    }

    private void tick(AttemptRecord record, long nowMillis) {
        if (nowMillis >= record.deadlineMillis) {
            abort(record, ResultCode.DEADLINE_PASSED_RUNNING, nowMillis);
        } else if (isStalled(record, nowMillis)) {
            abort(record, ResultCode.ENDPOINT_STALLED, nowMillis);
        } else if (isAbandoned(record, nowMillis)) {
            stop(record, ResultCode.CANCELLED, nowMillis);
        } else if (record.isResumePending && nowMillis >= record.resumeAtMillis) {
            engineEventHandler.sendResume(record, nowMillis);
        }
    }

    /** Detects a hanging endpoint or a half-open connection by missing progress, because TCP reports neither. */
    private static boolean isStalled(AttemptRecord record, long nowMillis) {
        long stallMillis = record.order.stallMillis();
        return stallMillis > 0 && nowMillis - record.lastProgressMillis >= stallMillis;
    }

    private boolean isAbandoned(AttemptRecord record, long nowMillis) {
        return record.order.repeatable()
                && record.link == AttemptRecord.NO_LINK
                && nowMillis - record.detachedAtMillis >= settings.graceMillis();
    }

    private void evictFinished(long nowMillis) {
        Optional<AttemptRecord> expired = table.removeExpired(nowMillis);
        while (expired.isPresent()) {
            AttemptRecord record = expired.get();
            if (!record.order.repeatable()) {
                deduplicationCache.put(record.attempt(), resultWithoutFrames(record), nowMillis);
            }
            expired = table.removeExpired(nowMillis);
        }
        deduplicationCache.evictExpired(nowMillis);
    }

    private static AttemptResult resultWithoutFrames(AttemptRecord record) {
        Execution execution = record.result.map(AttemptResult::execution).orElse(Execution.UNKNOWN);
        return AttemptResult.of(ResultCode.OUTCOME_UNKNOWN, execution, 0);
    }
}
