package org.quetzalshunt.core.limit;

import java.util.List;
import org.quetzalshunt.core.vm.VmId;

/**
 * A message between the limits of two entries. Every one names the generation that it belongs to; except for the words
 * about leases, a message of another generation than the receiver's is void.
 */
public sealed interface LimitMessage {

    /** A part of the bucket is counted in millionths of the account's rate and burst. */
    long ALL_PARTS = 1_000_000;

    /** Tokens are counted in millionths. */
    long MICRO_TOKENS = 1_000_000;

    /** Offset of the generation's record. */
    long generation();

    /**
     * Asks for tokens. Sent to the account's home, which gives what it can and passes the rest on.
     *
     * @param generation generation of the asker
     * @param key account
     * @param asker who lacks tokens; transfers go straight to it
     * @param wantedMicroTokens tokens wanted, in millionths
     * @param heldParts parts that the asker holds, in millionths
     * @param demandMilliTokens tokens a second that the asker's callers ask for, in thousandths
     * @param passedOn whether the home passed it on; such a request is not passed on again
     */
    record Request(
            long generation,
            AccountKey key,
            VmId asker,
            long wantedMicroTokens,
            long heldParts,
            long demandMilliTokens,
            boolean passedOn)
            implements LimitMessage {}

    /**
     * Moves a part of the bucket with the tokens in it. The sender has given it up before it sends.
     *
     * @param generation generation of both sides
     * @param transfer number of the transfer, counted by sender and receiver from 1 in each generation
     * @param settledBelow every number below this was acknowledged, so that the receiver may forget them
     * @param key account
     * @param parts parts in millionths of rate and burst
     * @param microTokens tokens in millionths, no more than the parts have room for
     */
    record Transfer(long generation, long transfer, long settledBelow, AccountKey key, long parts, long microTokens)
            implements LimitMessage {}

    /**
     * Acknowledges a transfer, so that it is not sent again.
     *
     * @param generation generation of the transfer
     * @param transfer its number
     */
    record TransferAcknowledgement(long generation, long transfer) implements LimitMessage {}

    /**
     * Tells a home what a member carried over from the former generation.
     *
     * @param generation the new generation
     * @param holdings parts carried, for every account of that home of which the member holds any
     */
    record CarryReport(long generation, List<Holding> holdings) implements LimitMessage {}

    /**
     * Acknowledges a report.
     *
     * @param generation generation of the report
     */
    record CarryAcknowledgement(long generation) implements LimitMessage {}

    /**
     * Asks for a word that no newer generation is known.
     *
     * @param generation generation of the asker
     * @param sentMillis time of sending by the asker's clock
     */
    record LeaseRequest(long generation, long sentMillis) implements LimitMessage {}

    /**
     * The word that its sender had read no newer generation when it answered.
     *
     * @param generation generation of the asker
     * @param sentMillis the asker's own time, given back
     */
    record LeaseWord(long generation, long sentMillis) implements LimitMessage {}

    /**
     * Parts that one entry holds of one account.
     *
     * @param key account
     * @param parts parts in millionths
     */
    record Holding(AccountKey key, long parts) {}
}
