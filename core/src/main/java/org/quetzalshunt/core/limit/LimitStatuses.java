package org.quetzalshunt.core.limit;

import static org.quetzalshunt.core.limit.LimitMessage.MICRO_TOKENS;

/** Creates the status of an account from its bucket. */
final class LimitStatuses {
    private LimitStatuses() {}

    static LimitStatus of(long nowMillis, Bucket bucket, long partsInTransfer) {
        bucket.accrue(nowMillis);
        return new LimitStatus(
                bucket.key,
                bucket.rateMicroTokens() / (double) MICRO_TOKENS,
                bucket.burstMicroTokens() / (double) MICRO_TOKENS,
                bucket.parts(),
                bucket.level() / (double) MICRO_TOKENS,
                partsInTransfer,
                bucket.waiting.size(),
                bucket.demand.perSecond(nowMillis),
                bucket.taken,
                bucket.refused);
    }
}
