package org.quetzalshunt.server.sidecar;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.Optional;
import org.quetzalshunt.core.attempt.AttemptOrder;
import org.quetzalshunt.core.attempt.AttemptResult;
import org.quetzalshunt.core.attempt.GateOutput;
import org.quetzalshunt.core.attempt.TokenUsage;
import org.quetzalshunt.wire.generated.AttemptChunk;
import org.quetzalshunt.wire.generated.AttemptEnd;
import org.quetzalshunt.wire.generated.AttemptHead;
import org.quetzalshunt.wire.generated.AttemptStart;
import org.quetzalshunt.wire.generated.Message;
import org.quetzalshunt.wire.generated.Usage;

/** Converts between link messages and the records of the endpoint gate. */
final class AttemptMessages {
    private static final byte[] NO_BODY = {};

    private AttemptMessages() {}

    /** Converts a start message to an order; empty when a required field is missing. */
    static Optional<AttemptOrder> order(AttemptStart start) {
        if (!start.isSetAttempt() || !start.isSetShard() || !start.isSetEpoch() || !start.isSetRemainingMillis()) {
            return Optional.empty();
        }
        return Optional.of(new AttemptOrder(
                start.getAttempt(),
                start.getShard(),
                start.getEpoch(),
                text(start.getProgram(), ""),
                text(start.getMethod(), "GET"),
                text(start.getPath(), "/"),
                start.isSetHeaders() ? start.getHeaders() : Map.of(),
                start.isSetBody() ? start.getBody() : NO_BODY,
                start.getPriority(),
                start.getRemainingMillis(),
                start.getStallMillis(),
                start.isRepeatable(),
                start.getCacheLeaseMillis()));
    }

    static Message head(GateOutput.SendHead head) {
        return Message.attemptHead(new AttemptHead(head.attempt(), head.status(), head.headers()));
    }

    static Message chunk(GateOutput.SendChunk chunk) {
        return Message.attemptChunk(new AttemptChunk(chunk.attempt(), chunk.sequence(), ByteBuffer.wrap(chunk.data())));
    }

    static Message end(GateOutput.SendEnd end) {
        AttemptResult result = end.result();
        AttemptEnd message = new AttemptEnd(
                end.attempt(), result.code().number(), result.execution().number(), result.chunks());
        result.usage().ifPresent(usage -> message.setUsage(usage(usage)));
        result.finishReason().ifPresent(message::setFinishReason);
        return Message.attemptEnd(message);
    }

    private static Usage usage(TokenUsage usage) {
        return new Usage(usage.promptTokens(), usage.cachedTokens(), usage.completionTokens());
    }

    private static String text(String value, String fallback) {
        return value == null ? fallback : value;
    }
}
