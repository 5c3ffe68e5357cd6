package org.quetzalshunt.core.attempt;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;

/** Buffers the frames of each attempt and sends them in order to the one link that is attached to it. */
final class FrameDelivery {
    /** Many times the size of a response of 200,000 tokens. A larger response is forwarded but cannot be replayed. */
    static final long MAXIMUM_REPLAY_BYTES = 8L * 1024 * 1024;

    private final AttemptTable table;
    private final Consumer<GateOutput> outputs;

    FrameDelivery(AttemptTable table, Consumer<GateOutput> outputs) {
        this.table = table;
        this.outputs = outputs;
    }

    void forwardHead(AttemptRecord record, int status, Map<String, String> headers) {
        record.hasHead = true;
        record.status = status;
        record.headers = headers;
        sendHead(record);
    }

    void forwardChunk(AttemptRecord record, byte[] data) {
        int sequence = record.chunkCount;
        record.chunkCount++;
        retain(record, data);
        if (record.link != AttemptRecord.NO_LINK) {
            outputs.accept(new GateOutput.SendChunk(record.link, record.attempt(), sequence, data));
        }
    }

    void finish(AttemptRecord record, ResultCode code, Execution execution, long nowMillis) {
        AttemptResult result = new AttemptResult(code, execution, record.chunkCount, record.usage, record.finishReason);
        record.result = Optional.of(result);
        record.finishedAtMillis = nowMillis;
        table.markFinished(record);
        if (record.link != AttemptRecord.NO_LINK) {
            outputs.accept(new GateOutput.SendEnd(record.link, record.attempt(), result));
        }
    }

    /**
     * Attaches a link and sends it all frames from a sequence number on. If these are not available, the link gets
     * {@code ANSWER_CUT} and is not attached. A link that was attached before receives no further frames, so that each
     * attempt has one receiver.
     */
    void attach(AttemptRecord record, long link, int fromSequence) {
        if (fromSequence < 0 || fromSequence > record.chunkCount || record.isReplayDiscarded) {
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
        if (record.hasHead && record.link != AttemptRecord.NO_LINK) {
            outputs.accept(new GateOutput.SendHead(record.link, record.attempt(), record.status, record.headers));
        }
    }

    private static void retain(AttemptRecord record, byte[] data) {
        if (record.isReplayDiscarded) {
            return;
        }
        if (record.chunkBytes + data.length > MAXIMUM_REPLAY_BYTES) {
            record.isReplayDiscarded = true;
            record.chunks.clear();
            record.chunkBytes = 0;
            return;
        }
        record.chunks.add(data);
        record.chunkBytes += data.length;
    }
}
