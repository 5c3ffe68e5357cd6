package org.quetzalshunt.core.admission;

import java.util.HashMap;
import java.util.Map;
import org.quetzalshunt.core.quota.TokenBucket;
import org.quetzalshunt.core.quota.TokenOffer;

/**
 * The alternative to a second bucket: counts the tokens that running programs still need, and admits a first turn if
 * these and its own are covered by the tokens of the share and those earned within a time. It knows the sizes of
 * programs.
 */
final class CountedAdmission implements QuotaSimulation.Owner {
    private static final double ROUNDING = 1e-6;

    private final TokenBucket share;
    private final double horizonMillis;
    private final Map<String, Double> sizes;
    private final Map<String, Double> needed = new HashMap<>();
    private final Map<String, Long> lastMillis = new HashMap<>();
    private final PromisedStarts promised = new PromisedStarts();

    CountedAdmission(TokenBucket share, double horizonMillis, Map<String, Double> sizes) {
        this.share = share;
        this.horizonMillis = horizonMillis;
        this.sizes = sizes;
    }

    @Override
    public TokenOffer reserve(long nowMillis, ProgramRequest request, long maximumWaitMillis) {
        promised.expire(nowMillis);
        lastMillis.entrySet().removeIf(entry -> {
            boolean idle = nowMillis - entry.getValue() >= ProgramSizes.ENDED_MILLIS;
            if (idle) {
                needed.remove(entry.getKey());
            }
            return idle;
        });
        String program = request.program().get();
        if (!request.startsProgram()) {
            TokenOffer offer = share.reserve(nowMillis, maximumWaitMillis);
            if (offer.taken() && needed.containsKey(program)) {
                needed.merge(program, -1.0, (left, one) -> Math.max(0, left + one));
                lastMillis.put(program, nowMillis);
            }
            return offer;
        }
        double tokens = sizes.get(request.startedKind().get());
        double outstanding =
                needed.values().stream().mapToDouble(Double::doubleValue).sum();
        double earned = share.ratePerSecond() * horizonMillis / 1_000;
        double missing = Math.min(tokens, share.capacity() + earned)
                + promised.tokensBefore(program, request.urgency())
                + outstanding
                - share.tokens(nowMillis)
                - earned;
        long wait = Math.max(share.waitMillis(nowMillis), (long)
                Math.ceil(Math.max(0, missing - ROUNDING) / share.ratePerSecond() * 1_000));
        if (wait > 0) {
            if (maximumWaitMillis >= wait) {
                promised.put(program, tokens, request.urgency(), nowMillis + wait);
            }
            return TokenOffer.startAfter(wait);
        }
        share.take(nowMillis);
        promised.remove(program);
        needed.put(program, tokens - 1);
        lastMillis.put(program, nowMillis);
        return TokenOffer.started();
    }
}
