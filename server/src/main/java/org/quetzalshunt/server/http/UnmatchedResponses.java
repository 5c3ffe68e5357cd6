package org.quetzalshunt.server.http;

import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/** Counts the responses on client connections that no request was waiting for. */
public final class UnmatchedResponses {
    /** Why a response was not passed to a request. */
    public enum Kind {
        /** It has the id of another request than the one that waits on the connection. */
        FOREIGN,
        /** It has no id and was received on a connection that had been used before. */
        UNIDENTIFIED,
        /** It was received on an idle connection. */
        UNEXPECTED,
        /**
         * Bytes that are no response were received on an idle connection, directly behind a response, joined with the
         * head of one, or in its place.
         */
        BYTES
    }

    /** Servers with a count of their own; more than a deployment has. */
    private static final int MAXIMUM_SERVERS = 2_000;

    private final Map<Kind, Long> counts = new EnumMap<>(Kind.class);
    private final Map<InetSocketAddress, Long> countByServer = new HashMap<>();
    private Consumer<UnmatchedResponse> listener = response -> {};

    UnmatchedResponses() {}

    /** Registers a listener, in place of the previous one, that receives each such response. */
    public void onResponse(Consumer<UnmatchedResponse> newListener) {
        listener = newListener;
    }

    void record(UnmatchedResponse response) {
        counts.merge(response.kind(), 1L, Long::sum);
        if (countByServer.size() < MAXIMUM_SERVERS || countByServer.containsKey(response.server())) {
            countByServer.merge(response.server(), 1L, Long::sum);
        }
        listener.accept(response);
    }

    /** Number of such responses since the start. */
    public long count(Kind kind) {
        return counts.getOrDefault(kind, 0L);
    }

    /** Number of such responses since the start by the address of their server. */
    public Map<InetSocketAddress, Long> countByServer() {
        return Map.copyOf(countByServer);
    }
}
