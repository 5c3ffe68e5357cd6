package org.quetzalshunt.core.limit;

import static org.quetzalshunt.core.limit.LimitMessage.ALL_PARTS;
import static org.quetzalshunt.core.limit.LimitMessage.MICRO_TOKENS;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.quetzalshunt.core.limit.LimitMessage.Request;
import org.quetzalshunt.core.vm.VmId;

/** Asks other entries for tokens before the ones at hand run out, and passes on what others ask of a home. */
final class TokenFetcher {
    /** Tokens at hand for less than this much traffic are topped up: several times the way to a peer and back. */
    private static final double LOW_SECONDS = 0.03;

    /** Traffic for which tokens are asked at once. */
    private static final double WANTED_SECONDS = 0.1;

    /** First pause between two requests, a few times the way to the home, to a holder, and back. */
    private static final long FIRST_INTERVAL_MILLIS = 10;

    /** Requests that wait longer without a break mean an account over its rate; until then it asks at the first pause. */
    private static final long PATIENCE_MILLIS = 400;

    /** Longest pause, of an account over its rate: no longer than a request waits, or one entry starves beside others. */
    private static final long LONGEST_INTERVAL_MILLIS = 200;

    /** Holders that a home asks on behalf of one request; when the asker comes again in vain, it asks all it knows. */
    private static final int PASSED_ON_TO = 3;

    /** A second request within this time means that the first brought too little. */
    private static final long AGAIN_MILLIS = 100;

    private final VmId self;
    private final MessageBudget budget = new MessageBudget();
    private final BiConsumer<VmId, LimitMessage> sender;
    private Generation generation = Generation.none();
    private Predicate<VmId> alive = vm -> true;

    TokenFetcher(VmId self, BiConsumer<VmId, LimitMessage> sender) {
        this.self = self;
        this.sender = sender;
    }

    void onGeneration(Generation next) {
        generation = next;
    }

    void onAlive(Set<VmId> live) {
        alive = live::contains;
    }

    boolean isAlive(VmId vm) {
        return alive.test(vm);
    }

    /** Asks for tokens if the bucket is short of them and it is time to ask. */
    void fetch(long nowMillis, Bucket bucket) {
        if (bucket.waiting.isEmpty()) {
            bucket.shortSinceMillis = Long.MAX_VALUE;
        } else {
            bucket.shortSinceMillis = Math.min(bucket.shortSinceMillis, nowMillis);
        }
        if (bucket.parts() == ALL_PARTS || !generation.contains(self)) {
            return;
        }
        double demand = bucket.demand.perSecond(nowMillis);
        if (!isShort(bucket, demand) || nowMillis - bucket.askedMillis < bucket.askIntervalMillis) {
            return;
        }
        boolean newlyShort = nowMillis - bucket.shortSinceMillis < PATIENCE_MILLIS;
        bucket.askIntervalMillis =
                newlyShort ? FIRST_INTERVAL_MILLIS : Math.min(LONGEST_INTERVAL_MILLIS, bucket.askIntervalMillis * 2);
        bucket.askedMillis = nowMillis;
        ask(nowMillis, bucket, demand);
    }

    private static boolean isShort(Bucket bucket, double demand) {
        if (!bucket.waiting.isEmpty()) {
            return true;
        }
        boolean earnsEnough = bucket.rateMicroTokens() / (double) ALL_PARTS * bucket.parts() >= demand * MICRO_TOKENS;
        double low = Math.min(demand * LOW_SECONDS * MICRO_TOKENS, bucket.burstMicroTokens() / 4.0);
        return !earnsEnough && bucket.level() < low;
    }

    /** Notes a request served here, whose share of the traffic may be spent on fetching. */
    void onServed(long nowMillis) {
        budget.onServed(nowMillis);
    }

    private void ask(long nowMillis, Bucket bucket, double demand) {
        long wanted = bucket.waiting.size() * MICRO_TOKENS + (long) (demand * WANTED_SECONDS * MICRO_TOKENS);
        long bounded = Math.min(bucket.burstMicroTokens(), Math.max(MICRO_TOKENS, wanted)) - bucket.level();
        if (bounded <= 0) {
            return;
        }
        Request request = new Request(
                generation.offset, bucket.key, self, bounded, bucket.parts(), (long) (demand * 1_000), false);
        Optional<VmId> home = generation.home(bucket.key).filter(alive);
        if (home.filter(self::equals).isPresent()) {
            passOn(nowMillis, bucket, request, 0);
            return;
        }
        if (home.isPresent()) {
            sendWithinBudget(nowMillis, home.get(), request);
            return;
        }
        askAnyone(nowMillis, bucket, request);
    }

    /** Without a live home, members are asked in turn: some of them hold the parts. */
    private void askAnyone(long nowMillis, Bucket bucket, Request request) {
        List<VmId> live = new ArrayList<>(generation.record.members());
        live.removeIf(vm -> vm.equals(self) || !alive.test(vm));
        sendInTurn(nowMillis, bucket, live, PASSED_ON_TO, asPassedOn(request, 0));
    }

    /** Passes on to likely holders what the home could not give. */
    void passOn(long nowMillis, Bucket bucket, Request request, long givenMicroTokens) {
        // A home that holds nearly all parts and still cannot serve knows that the fleet is dry.
        boolean othersHoldLittle = bucket.parts() > ALL_PARTS * 15 / 16;
        if (request.wantedMicroTokens() <= givenMicroTokens || othersHoldLittle) {
            return;
        }
        List<VmId> holders = bucket.holders.all();
        holders.removeIf(vm -> vm.equals(request.asker()) || vm.equals(self) || !alive.test(vm));
        boolean again = bucket.holders.askedWithin(nowMillis, AGAIN_MILLIS, request.asker());
        int many = again ? holders.size() : PASSED_ON_TO;
        sendInTurn(nowMillis, bucket, holders, many, asPassedOn(request, givenMicroTokens));
    }

    /** Sends to the last of the candidates, which asked most recently, and to the others in turn. */
    private void sendInTurn(long nowMillis, Bucket bucket, List<VmId> candidates, int many, Request request) {
        if (candidates.isEmpty()) {
            return;
        }
        sendWithinBudget(nowMillis, candidates.remove(candidates.size() - 1), request);
        for (int count = 1; count < many && !candidates.isEmpty(); count++) {
            bucket.holdersCursor++;
            int index = Math.floorMod(bucket.holdersCursor, candidates.size());
            sendWithinBudget(nowMillis, candidates.remove(index), request);
        }
    }

    private static Request asPassedOn(Request request, long givenMicroTokens) {
        return new Request(
                request.generation(),
                request.key(),
                request.asker(),
                request.wantedMicroTokens() - givenMicroTokens,
                request.heldParts(),
                request.demandMilliTokens(),
                true);
    }

    private void sendWithinBudget(long nowMillis, VmId to, Request request) {
        if (budget.tryUse(nowMillis)) {
            sender.accept(to, request);
        }
    }
}
