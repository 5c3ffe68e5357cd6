package org.quetzalshunt.core.attempt;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;

/** Keeps the frames of each attempt and hands them to the one link that is attached to it, in order. */
final class FrameDelivery {
    /** An answer of 200,000 tokens fits many times; a larger one is passed on but cannot be replayed. */
    static final long MAXIMUM_REPLAY_BYTES = 8L * 1024 * 1024;

    private final AttemptTable table;
    private final Consumer<GateOutput> outputs;

    FrameDelivery(AttemptTable table, Consumer<GateOutput> outputs) {
        this.table = table;
        this.outputs = outputs;
    }

    void head(AttemptRecord record, int status, Map<String, String> headers) {
        record.headSeen = true;
        record.status = status;
        record.headers = headers;
        sendHead(record);
    }

    void chunk(AttemptRecord record, byte[] data) {
        int sequence = record.chunkCount;
        record.chunkCount++;
        keep(record, data);
        if (record.link != AttemptRecord.NO_LINK) {
            outputs.accept(new GateOutput.SendChunk(record.link, record.attempt(), sequence, data));
        }
    }

    void finish(AttemptRecord record, ResultCode code, Execution execution, long nowMillis) {
        AttemptResult result = new AttemptResult(code, execution, record.chunkCount, record.usage, record.finishReason);
        record.result = Optional.of(result);
        record.finishedMillis = nowMillis;
        table.markFinished(record);
        if (record.link != AttemptRecord.NO_LINK) {
            outputs.accept(new GateOutput.SendEnd(record.link, record.attempt(), result));
        }
    }

    /** Attaches a link and sends what it lacks. The link attached before hears no more: one answer, one receiver. */
    void attach(AttemptRecord record, long link, int fromSequence) {
        if (fromSequence < 0 || fromSequence > record.chunkCount || record.framesDropped) {
            refuseReplay(record, link);
            return;
        }
        record.link = link;
        if (fromSequence == 0) {
            sendHead(record);
        }
        for (int sequence = fromSequence; sequence < record.chunkCount; sequence++) {
            byte[] data = record.chunks.get(sequence);
            outputs.accept(new GateOutput.SendChunk(link, record.attempt(), sequence, data));
        }
        record.result.ifPresent(result -> outputs.accept(new GateOutput.SendEnd(link, record.attempt(), result)));
    }

    private void refuseReplay(AttemptRecord record, long link) {
        Execution execution = record.result.map(AttemptResult::execution).orElse(Execution.RAN);
        AttemptResult cut = AttemptResult.of(ResultCode.ANSWER_CUT, execution, record.chunkCount);
        outputs.accept(new GateOutput.SendEnd(link, record.attempt(), cut));
    }

    private void sendHead(AttemptRecord record) {
        if (record.headSeen && record.link != AttemptRecord.NO_LINK) {
            outputs.accept(new GateOutput.SendHead(record.link, record.attempt(), record.status, record.headers));
        }
    }

    private static void keep(AttemptRecord record, byte[] data) {
        if (record.framesDropped) {
            return;
        }
        if (record.chunkBytes + data.length > MAXIMUM_REPLAY_BYTES) {
            record.framesDropped = true;
            record.chunks.clear();
            record.chunkBytes = 0;
            return;
        }
        record.chunks.add(data);
        record.chunkBytes += data.length;
    }
}
