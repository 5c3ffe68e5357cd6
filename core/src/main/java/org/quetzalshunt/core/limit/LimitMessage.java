package org.quetzalshunt.core.limit;

import java.util.List;
import org.quetzalshunt.core.vm.VmId;

/**
 * A message between the limits of two entries. Every message names the generation that it belongs to. Except for a
 * {@link LeaseRequest}, a message of another generation than the receiver's is void.
 */
public sealed interface LimitMessage {

    /** Number of parts in the whole of an account's rate and burst: parts are counted in millionths. */
    long ALL_PARTS = 1_000_000;

    /** Micro-tokens per token: tokens are counted in millionths. */
    long MICRO_TOKENS = 1_000_000;

    /** Offset of the generation's record. */
    long generation();

    /**
     * Requests tokens. It is sent to the account's home, which transfers what it can and forwards the request for the
     * rest.
     *
     * @param generation generation of the requester
     * @param key account
     * @param requester VM that is short of tokens; transfers go directly to it
     * @param wantedMicroTokens tokens wanted, in millionths
     * @param heldParts parts that the requester holds, in millionths
     * @param demandMilliTokens tokens per second that the requester's callers request, in thousandths
     * @param forwarded whether the home forwarded it; such a request is not forwarded again
     */
    record Request(
            long generation,
            AccountKey key,
            VmId requester,
            long wantedMicroTokens,
            long heldParts,
            long demandMilliTokens,
            boolean forwarded)
            implements LimitMessage {}

    /**
     * Moves parts of the bucket with their tokens. The sender removes them from its own bucket before it sends the
     * message.
     *
     * @param generation generation of sender and receiver
     * @param transfer number of the transfer, counted from 1 for each sender and receiver in each generation
     * @param settledBelow all lower numbers are acknowledged, so the receiver can discard them
     * @param key account
     * @param parts parts in millionths of rate and burst
     * @param microTokens tokens in millionths, at most the capacity of the parts
     */
    record Transfer(long generation, long transfer, long settledBelow, AccountKey key, long parts, long microTokens)
            implements LimitMessage {}

    /**
     * Acknowledges a transfer, so that it is not sent again.
     *
     * @param generation generation of the transfer
     * @param transfer number of the transfer
     */
    record TransferAcknowledgement(long generation, long transfer) implements LimitMessage {}

    /**
     * Reports to a home the parts that a member carried over from the former generation.
     *
     * @param generation the new generation
     * @param holdings parts carried over, for every account of that home of which the member holds any
     */
    record CarryReport(long generation, List<Holding> holdings) implements LimitMessage {}

    /**
     * Acknowledges a report.
     *
     * @param generation generation of the report
     */
    record CarryAcknowledgement(long generation) implements LimitMessage {}

    /**
     * Requests the confirmation that no newer generation is known.
     *
     * @param generation generation of the requester
     * @param sentMillis time of sending by the requester's clock
     */
    record LeaseRequest(long generation, long sentMillis) implements LimitMessage {}

    /**
     * Confirms that its sender had read no newer generation when it answered.
     *
     * @param generation generation of the requester
     * @param sentMillis time of the request by the requester's clock, copied from it
     */
    record LeaseConfirmation(long generation, long sentMillis) implements LimitMessage {}

    /**
     * Parts that one entry holds of one account.
     *
     * @param key account
     * @param parts parts in millionths
     */
    record Holding(AccountKey key, long parts) {}
}
