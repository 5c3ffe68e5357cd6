package org.quetzalshunt.server.gateway;

import org.quetzalshunt.core.memory.MemoryHolder;
import org.quetzalshunt.core.memory.MemoryUse;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.routing.PrefixPart;

/** Memory that a request takes: its body here until an endpoint has read it, and its tokens at an engine. */
final class RequestMemory {
    /** Bound of the tokens of one request, which keeps sums in range where the capacity of an engine is unknown. */
    private static final long MAXIMUM_TOKENS = 1L << 40;

    private final Gateway gateway;
    private final AdmittedRequest admitted;
    private final byte[] body;
    private final MemoryHolder holder;
    private boolean unread;
    private long tokensAtEngine;

    RequestMemory(Gateway gateway, AdmittedRequest admitted, byte[] body) {
        this.gateway = gateway;
        this.admitted = admitted;
        this.body = body;
        this.holder = admitted.exchange().memory();
    }

    /**
     * Tokens of prompt and maximum output, at most the capacity of an engine, so that a request with an absurd length
     * still runs alone; 0 if endpoints are used whatever they hold.
     */
    long workTokens(long capacityTokens) {
        if (admitted.service().engine().isEmpty() || !gateway.isEnabled(Mechanism.MEMORY_LIMIT)) {
            return 0;
        }
        long tokens = bounded(admitted.maximumTokens(), capacityTokens);
        for (PrefixPart part : admitted.request().prefixParts()) {
            tokens = bounded(tokens + bounded(part.tokens(), capacityTokens), capacityTokens);
        }
        return tokens;
    }

    private static long bounded(long tokens, long capacityTokens) {
        return Math.max(0, Math.min(tokens, Math.min(capacityTokens, MAXIMUM_TOKENS)));
    }

    /** Counts the tokens at an engine that the request is sent to. */
    void started(String endpoint, long workTokens) {
        tokensAtEngine = workTokens;
        gateway.endpoints().addWork(endpoint, workTokens);
    }

    /** Counts the body as unread by the endpoint. A prompt with history is another array than the caller's body. */
    void onUnread() {
        unread = true;
        if (isBodyOfCaller()) {
            holder.move(MemoryUse.BODIES, MemoryUse.REQUESTS, body.length);
        } else {
            holder.hold(MemoryUse.REQUESTS, body.length);
        }
    }

    /** The endpoint has read the body, or its connection is closed. */
    void onRead() {
        if (!unread) {
            return;
        }
        unread = false;
        if (isBodyOfCaller() && !admitted.exchange().finished()) {
            holder.move(MemoryUse.REQUESTS, MemoryUse.BODIES, body.length);
        } else {
            holder.release(MemoryUse.REQUESTS, body.length);
        }
    }

    /** The attempt at an endpoint has ended. */
    void ended(String endpoint) {
        onRead();
        gateway.endpoints().addWork(endpoint, -tokensAtEngine);
        tokensAtEngine = 0;
    }

    private boolean isBodyOfCaller() {
        return body == admitted.exchange().body();
    }
}
