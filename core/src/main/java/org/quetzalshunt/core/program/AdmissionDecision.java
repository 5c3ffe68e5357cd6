package org.quetzalshunt.core.program;

import org.quetzalshunt.core.result.Refusal;

/** The decision of a shard's owner on a request. */
public sealed interface AdmissionDecision {

    /** The request is queued or started; {@link ShardListener} reports its start or refusal. */
    record Accepted() implements AdmissionDecision {}

    /** The request was completed before; this is its stored answer. */
    record Replay(String requestId, StoredAnswer answer) implements AdmissionDecision {}

    /** The same request is queued or running under another request id; its result also answers this request. */
    record Attach(String requestId) implements AdmissionDecision {}

    /** The request is not run. */
    record Refused(Refusal refusal) implements AdmissionDecision {}
}
