package org.quetzalshunt.core.attempt;

import java.util.Optional;
import java.util.function.Consumer;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;

/** What time alone does to attempts: deadline, stall, no receiver, a due resume, and the end of keeping. */
final class AttemptTimes {
    private final GateSettings settings;
    private final AttemptTable table;
    private final RememberedResults remembered;
    private final FrameDelivery delivery;
    private final ChatRules chatRules;
    private final Consumer<GateOutput> outputs;

    AttemptTimes(
            GateSettings settings,
            AttemptTable table,
            RememberedResults remembered,
            FrameDelivery delivery,
            ChatRules chatRules,
            Consumer<GateOutput> outputs) {
        this.settings = settings;
        this.table = table;
        this.remembered = remembered;
        this.delivery = delivery;
        this.chatRules = chatRules;
        this.outputs = outputs;
    }

    void tick(long nowMillis) {
        if (table.running() > 0) {
            table.listRunning().forEach(record -> tick(record, nowMillis));
        }
        forget(nowMillis);
    }

    /** Ends one that runs, whatever the endpoint may still say. */
    void stop(AttemptRecord record, ResultCode code, long nowMillis) {
        outputs.accept(new GateOutput.StopRun(record.attempt()));
        delivery.finish(record, code, Execution.RAN, nowMillis);
    }

    /** Ends one of which nobody hears how it ends: for a plain call that must not be repeated, that is not known. */
    void giveUp(AttemptRecord record, ResultCode codeIfRepeatable, long nowMillis) {
        if (record.order.repeatable() || settings.kind() == ServiceKind.ENGINE) {
            stop(record, codeIfRepeatable, nowMillis);
            return;
        }
        outputs.accept(new GateOutput.StopRun(record.attempt()));
        delivery.finish(record, ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN, nowMillis);
    }

    private void tick(AttemptRecord record, long nowMillis) {
        if (nowMillis >= record.deadlineMillis) {
            giveUp(record, ResultCode.DEADLINE_PASSED_RUNNING, nowMillis);
        } else if (isStalled(record, nowMillis)) {
            giveUp(record, ResultCode.ENDPOINT_STALLED, nowMillis);
        } else if (isAbandoned(record, nowMillis)) {
            stop(record, ResultCode.CANCELLED, nowMillis);
        } else if (record.resuming && nowMillis >= record.resumeAtMillis) {
            chatRules.resumeNow(record, nowMillis);
        }
    }

    /** Guards against an endpoint that hangs or a half-open connection: TCP shows neither, missing progress does. */
    private static boolean isStalled(AttemptRecord record, long nowMillis) {
        long stallMillis = record.order.stallMillis();
        return stallMillis > 0 && nowMillis - record.lastProgressMillis >= stallMillis;
    }

    private boolean isAbandoned(AttemptRecord record, long nowMillis) {
        return record.order.repeatable()
                && record.link == AttemptRecord.NO_LINK
                && nowMillis - record.detachedMillis >= settings.graceMillis();
    }

    private void forget(long nowMillis) {
        Optional<AttemptRecord> expired = table.removeExpired(nowMillis);
        while (expired.isPresent()) {
            AttemptRecord record = expired.get();
            if (!record.order.repeatable()) {
                remembered.remember(record.attempt(), withoutFrames(record), nowMillis);
            }
            expired = table.removeExpired(nowMillis);
        }
        remembered.forgetOldest(nowMillis);
    }

    private static AttemptResult withoutFrames(AttemptRecord record) {
        Execution execution = record.result.map(AttemptResult::execution).orElse(Execution.UNKNOWN);
        return AttemptResult.of(ResultCode.OUTCOME_UNKNOWN, execution, 0);
    }
}
