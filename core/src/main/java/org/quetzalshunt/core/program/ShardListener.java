package org.quetzalshunt.core.program;

import org.quetzalshunt.core.result.Refusal;

/** Callbacks by which a shard asks its host to act. They run on the thread that called the shard. */
public interface ShardListener {
    /** A turn has to be run. */
    void onTurnStart(TurnStart start);

    /** A call has to be run; its intent has been applied. */
    void onCallStart(CallRequest call);

    /** A request has to be answered with a refusal; it will not start. */
    void onRefused(String requestId, Refusal refusal);

    /** The epoch in which this process owned the shard has ended; results of running turns and calls are now void. */
    void onOwnershipLost(int shard);

    /** A program has ended; its prefix cache in the engines may be released. */
    void onProgramEnded(String program);
}
