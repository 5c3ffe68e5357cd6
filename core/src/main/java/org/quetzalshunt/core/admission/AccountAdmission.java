package org.quetzalshunt.core.admission;

import org.quetzalshunt.core.quota.TokenBucket;
import org.quetzalshunt.core.quota.TokenOffer;

/**
 * Grants the tokens of one account's quota share: to requests of running programs from the share itself, and to first
 * turns only if the share also covers the rest of their programs.
 *
 * <p>Load pattern: an account sends several times its usual rate. If each first turn needed only its own token, all
 * programs would start, share the tokens of a few, and end late.
 *
 * <p>Each token of the share is taken once from the start bucket too: as part of a program at its start, or alone if
 * the program's start was not seen here. What this owner grants thus never exceeds its share for long, whichever owner
 * started a program.
 */
final class AccountAdmission {
    /** An account's starts count as being refused until this time after the last refusal. */
    private static final long REFUSING_MILLIS = 5_000;

    private final ProgramSizes sizes = new ProgramSizes();
    private final PromisedStarts promised = new PromisedStarts();
    private final RecentStarts recent;
    private final StartBucket startBucket;
    private final TokenBucket share;
    private long admitted;
    private long refused;
    private long refusedMillis = Long.MIN_VALUE / 2;
    private boolean refusing;

    /**
     * Begins with a burst in the start bucket. A share that was just acquired, after its owner was lost, has no tokens; a start
     * bucket as empty as the share would refuse an account's programs until it has earned the tokens of a whole one.
     */
    AccountAdmission(long nowMillis, TokenBucket share) {
        this.share = share;
        this.startBucket = new StartBucket(nowMillis, share.capacity());
        this.recent = new RecentStarts(nowMillis);
    }

    boolean isOf(TokenBucket other) {
        return share == other;
    }

    /** Takes a token for a request, or for a program together with its first request. */
    TokenOffer reserve(long nowMillis, ProgramRequest request, long maximumWaitMillis) {
        update(nowMillis);
        if (!request.startsProgram()) {
            TokenOffer offer = share.reserve(nowMillis, maximumWaitMillis);
            if (offer.taken()) {
                countRequest(nowMillis, request);
            }
            return offer;
        }
        if (sizes.isKnown(request.program().get())) {
            return running(nowMillis, request);
        }
        return start(nowMillis, request, maximumWaitMillis);
    }

    private void update(long nowMillis) {
        startBucket.update(nowMillis, share.ratePerSecond(), share.capacity());
        sizes.expire(nowMillis);
        promised.expire(nowMillis);
        recent.decay(nowMillis);
    }

    private void countRequest(long nowMillis, ProgramRequest request) {
        boolean charged = request.program()
                .filter(program -> sizes.count(nowMillis, program))
                .isPresent();
        if (!charged) {
            startBucket.take(1);
        }
        // The other owner started the program, so this one need not keep tokens for it.
        request.program().ifPresent(promised::remove);
    }

    /**
     * A turn is taken for a first one at a gateway that does not know the earlier ones, or a first turn is sent again:
     * its program is running.
     */
    private TokenOffer running(long nowMillis, ProgramRequest request) {
        TokenOffer offer = share.reserve(nowMillis, 0);
        if (!offer.taken()) {
            return TokenOffer.RUNNING;
        }
        countRequest(nowMillis, request);
        return offer;
    }

    private TokenOffer start(long nowMillis, ProgramRequest request, long maximumWaitMillis) {
        String program = request.program().get();
        int urgency = request.urgency();
        double tokens = sizes.mean(request.startedKind().get());
        double moreUrgent = recent.tokensOfMoreUrgent(urgency);
        double kept = promised.tokensBefore(program, urgency) + moreUrgent;
        long waitMillis = Math.max(startBucket.waitMillis(tokens, kept, moreUrgent), share.waitMillis(nowMillis));
        if (waitMillis > 0) {
            return refuse(nowMillis, request, tokens, waitMillis, maximumWaitMillis);
        }
        share.take(nowMillis);
        startBucket.take(tokens);
        recent.add(urgency, tokens);
        sizes.start(nowMillis, program, request.startedKind().get(), tokens);
        promised.remove(program);
        admitted++;
        refusing = isRefusing(nowMillis);
        return TokenOffer.started();
    }

    private TokenOffer refuse(
            long nowMillis, ProgramRequest request, double tokens, long waitMillis, long maximumWaitMillis) {
        if (maximumWaitMillis == 0) {
            refused++;
            refusedMillis = nowMillis;
            refusing = true;
        } else if (waitMillis <= maximumWaitMillis) {
            promised.put(request.program().get(), tokens, request.urgency(), nowMillis + waitMillis);
        }
        return TokenOffer.startAfter(waitMillis);
    }

    /** Returns what a program took whose gateway no longer waits for the answer and may have started it elsewhere. */
    void cancelStart(long nowMillis, String program) {
        update(nowMillis);
        double tokens = sizes.cancel(program);
        startBucket.giveBack(tokens);
        if (tokens > 0) {
            share.giveBack(nowMillis);
        }
    }

    boolean isRefusing(long nowMillis) {
        return nowMillis - refusedMillis < REFUSING_MILLIS;
    }

    /** Whether starts are being refused, as of the last start. */
    boolean refusing() {
        return refusing;
    }

    ProgramSizes sizes() {
        return sizes;
    }

    AdmissionStatus status(long nowMillis) {
        update(nowMillis);
        return new AdmissionStatus(
                admitted,
                refused,
                isRefusing(nowMillis),
                startBucket.level(),
                sizes.runningPrograms(),
                promised.size(),
                sizes.means());
    }
}
