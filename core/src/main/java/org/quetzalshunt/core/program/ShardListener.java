package org.quetzalshunt.core.program;

import org.quetzalshunt.core.result.Refusal;

/** Hears from a shard what its host has to do. Called on the thread that called the shard. */
public interface ShardListener {
    /** Run a turn. */
    void onTurnStart(TurnStart start);

    /** Run a call whose intent is folded. */
    void onCallStart(CallRequest call);

    /** Answer a request with a refusal; it will not start. */
    void onRefused(String requestId, Refusal refusal);

    /** The shard passed to another owner: nothing that runs here counts any more. */
    void onOwnershipLost(int shard);

    /** A program ended: engine memory held for it can go. */
    void onProgramEnded(String program);
}
