package org.quetzalshunt.core.program;

import org.quetzalshunt.core.result.Refusal;

/** What becomes of a request at the owner of its shard. */
public sealed interface Admission {

    /** It waits for its turn; the listener hears when it starts or is refused. */
    record Accepted() implements Admission {}

    /** It ran before; this is its answer. */
    record Replay(String requestId, StoredAnswer answer) implements Admission {}

    /** It is running under another request id, whose end answers this one too. */
    record Attach(String requestId) implements Admission {}

    /** It does not run. */
    record Refused(Refusal refusal) implements Admission {}
}
