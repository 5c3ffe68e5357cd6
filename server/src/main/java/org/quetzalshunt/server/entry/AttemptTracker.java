package org.quetzalshunt.server.entry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.agrona.collections.Long2ObjectHashMap;
import org.quetzalshunt.core.memory.ResponseBudget;
import org.quetzalshunt.core.program.TokenUsage;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResponseStatus;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.generated.AttemptCancel;
import org.quetzalshunt.wire.generated.AttemptChunk;
import org.quetzalshunt.wire.generated.AttemptEnd;
import org.quetzalshunt.wire.generated.AttemptHead;
import org.quetzalshunt.wire.generated.AttemptResume;
import org.quetzalshunt.wire.generated.AttemptStart;
import org.quetzalshunt.wire.generated.Message;
import org.tinylog.Logger;

/**
 * Tracks the attempts in progress at sidecars and passes their frames to the listeners. Guards against truncated and
 * mixed-up responses: each frame carries the attempt id and a sequence number, a gap or a wrong chunk count fails the
 * attempt, and frames of an attempt that has already ended are ignored.
 */
final class AttemptTracker {
    /** Time to wait for a broken link to reconnect; a live sidecar reconnects within the first few tries. */
    private static final long RESUME_TIMEOUT_MILLIS = 3_000;

    /** The sidecar enforces the deadline itself; after this margin it is assumed to have crashed or to be paused. */
    private static final long DEADLINE_GRACE_MILLIS = 1_000;

    private final EntryClock clock;
    private final Map<String, PeerLink> links = new HashMap<>();
    private final Long2ObjectHashMap<Attempt> attempts = new Long2ObjectHashMap<>();
    private final ResponseBudget responses;
    private final long idBase;
    private int counter;

    AttemptTracker(EntryClock clock, ResponseBudget responses, long seed) {
        this.clock = clock;
        this.responses = responses;
        this.idBase = new SplittableRandom(seed).nextLong() & 0x7fff_ffff_0000_0000L;
    }

    /** Starts an attempt and returns its id; empty if there is no link to the endpoint's sidecar. */
    Optional<Long> start(String endpoint, AttemptStart message, AttemptListener listener) {
        PeerLink link = links.get(endpoint);
        if (link == null) {
            return Optional.empty();
        }
        long id = idBase | (counter++ & 0xffff_ffffL);
        message.setAttempt(id);
        long deadline = clock.now() + message.getRemainingMillis() + DEADLINE_GRACE_MILLIS;
        attempts.put(id, new Attempt(id, endpoint, listener, responses.open(), deadline));
        link.send(Message.attemptStart(message));
        return Optional.of(id);
    }

    /** Cancels an attempt. Its listener is not called again. */
    void cancel(long id) {
        Attempt attempt = attempts.remove(id);
        if (attempt == null) {
            return;
        }
        attempt.held.set(0);
        PeerLink link = links.get(attempt.endpoint);
        if (link != null) {
            link.send(Message.attemptCancel(new AttemptCancel(id)));
        }
    }

    int running() {
        return attempts.size();
    }

    Optional<PeerLink> link(String endpoint) {
        return Optional.ofNullable(links.get(endpoint));
    }

    Map<String, PeerLink> links() {
        return links;
    }

    void linkOpened(PeerLink link) {
        String endpoint = link.remote().id().name();
        links.put(endpoint, link);
        for (Attempt attempt : List.copyOf(attempts.values())) {
            if (attempt.endpoint.equals(endpoint) && attempt.linkLostMillis > 0) {
                attempt.linkLostMillis = 0;
                link.send(Message.attemptResume(new AttemptResume(attempt.id, attempt.nextSequence)));
            }
        }
    }

    void linkClosed(PeerLink link) {
        String endpoint = link.remote().id().name();
        if (!links.remove(endpoint, link)) {
            return;
        }
        attempts.values().stream()
                .filter(attempt -> attempt.endpoint.equals(endpoint))
                .forEach(attempt -> attempt.linkLostMillis = clock.now());
    }

    void onHead(AttemptHead head) {
        Attempt attempt = attempts.get(head.getAttempt());
        if (attempt == null || attempt.headSeen) {
            return;
        }
        if (!ResponseStatus.isFinal(head.getStatus())) {
            Logger.warn("attempt {}: received {}, which is no status of a response", attempt.id, head.getStatus());
            fail(attempt, ResultCode.OUTCOME_UNKNOWN, Execution.UNKNOWN);
            return;
        }
        attempt.headSeen = true;
        attempt.listener.onHead(head.getStatus(), head.getHeaders() == null ? Map.of() : head.getHeaders());
    }

    void onChunk(AttemptChunk chunk) {
        Attempt attempt = attempts.get(chunk.getAttempt());
        if (attempt == null || chunk.getSequence() < attempt.nextSequence) {
            return;
        }
        if (chunk.getSequence() > attempt.nextSequence) {
            Logger.warn(
                    "attempt {}: received chunk {}, expected chunk {}",
                    attempt.id,
                    chunk.getSequence(),
                    attempt.nextSequence);
            fail(attempt, ResultCode.ANSWER_CUT, Execution.RAN);
            return;
        }
        attempt.nextSequence++;
        attempt.listener.onChunk(chunk.getData());
        if (attempts.containsKey(attempt.id) && !attempt.held.set(attempt.listener.heldBytes())) {
            Logger.warn("attempt {}: the response is too large", attempt.id);
            fail(attempt, ResultCode.ENDPOINT_FAILED, Execution.UNKNOWN);
        }
    }

    void onEnd(AttemptEnd end) {
        Attempt attempt = attempts.get(end.getAttempt());
        if (attempt == null) {
            return;
        }
        ResultCode code = ResultCode.fromNumber(end.getResultCode());
        if (code == ResultCode.OK && end.getChunks() != attempt.nextSequence) {
            fail(attempt, ResultCode.ANSWER_CUT, Execution.RAN);
            return;
        }
        attempts.remove(attempt.id);
        attempt.held.set(0);
        Optional<TokenUsage> usage = Optional.ofNullable(end.getUsage())
                .map(counted -> new TokenUsage(
                        counted.getPromptTokens(), counted.getCachedTokens(), counted.getCompletionTokens()));
        String reason = end.getFinishReason() == null ? "" : end.getFinishReason();
        attempt.listener.onOutcome(new AttemptOutcome(code, Execution.fromNumber(end.getExecution()), usage, reason));
    }

    /** Fails attempts whose sidecar has not reconnected in time or whose deadline has passed. */
    void tick(long nowMillis) {
        if (attempts.isEmpty()) {
            return;
        }
        List<Attempt> expired = new ArrayList<>();
        for (Attempt attempt : attempts.values()) {
            boolean linkLost = attempt.linkLostMillis > 0 && nowMillis - attempt.linkLostMillis > RESUME_TIMEOUT_MILLIS;
            if (linkLost || nowMillis > attempt.deadlineMillis) {
                expired.add(attempt);
            }
        }
        for (Attempt attempt : expired) {
            boolean linkLost = attempt.linkLostMillis > 0;
            fail(
                    attempt,
                    linkLost ? ResultCode.ENDPOINT_FAILED : ResultCode.DEADLINE_PASSED_RUNNING,
                    Execution.UNKNOWN);
        }
    }

    private void fail(Attempt attempt, ResultCode code, Execution execution) {
        cancel(attempt.id);
        attempt.listener.onOutcome(AttemptOutcome.failed(code, execution));
    }

    private static final class Attempt {
        private final long id;
        private final String endpoint;
        private final AttemptListener listener;
        private final ResponseBudget.Account held;
        private final long deadlineMillis;
        private int nextSequence;
        private boolean headSeen;
        private long linkLostMillis;

        Attempt(long id, String endpoint, AttemptListener listener, ResponseBudget.Account held, long deadlineMillis) {
            this.id = id;
            this.endpoint = endpoint;
            this.listener = listener;
            this.held = held;
            this.deadlineMillis = deadlineMillis;
        }
    }
}
