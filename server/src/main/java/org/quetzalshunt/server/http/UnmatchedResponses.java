package org.quetzalshunt.server.http;

import java.util.EnumMap;
import java.util.Map;

/** Counts the responses on client connections that no request was waiting for. */
public final class UnmatchedResponses {
    /** Why a response was not passed to a request. */
    public enum Kind {
        /** It has the id of another request than the one that waits on the connection. */
        FOREIGN,
        /** It has no id and was received on a connection that had been used before. */
        UNIDENTIFIED,
        /** It was received on an idle connection. */
        UNEXPECTED
    }

    private final Map<Kind, Long> counts = new EnumMap<>(Kind.class);

    UnmatchedResponses() {}

    void record(Kind kind) {
        counts.merge(kind, 1L, Long::sum);
    }

    /** Number of such responses since the start. */
    public long count(Kind kind) {
        return counts.getOrDefault(kind, 0L);
    }
}
