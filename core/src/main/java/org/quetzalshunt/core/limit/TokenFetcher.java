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

    /** Longest pause: an account over its rate asks in vain, and once a second is enough to see that it still does. */
    private static final long LONGEST_INTERVAL_MILLIS = 1_000;

    /** Holders that a home asks on behalf of one request. */
    private static final int PASSED_ON_TO = 3;

    /** Holders that a home remembers of one account; more would not be asked in time anyway. */
    private static final int HOLDERS_KEPT = 16;

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
        if (bucket.parts() == ALL_PARTS || !generation.contains(self)) {
            return;
        }
        double demand = bucket.demand.perSecond(nowMillis);
        if (!isShort(bucket, demand) || nowMillis - bucket.askedMillis < bucket.askIntervalMillis) {
            return;
        }
        boolean afterPause = nowMillis - bucket.askedMillis > 2 * LONGEST_INTERVAL_MILLIS;
        bucket.askIntervalMillis = afterPause
                ? FIRST_INTERVAL_MILLIS
                : Math.min(LONGEST_INTERVAL_MILLIS, Math.max(FIRST_INTERVAL_MILLIS, bucket.askIntervalMillis * 2));
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

    /** Notes that tokens came, so that the next shortage asks at once. */
    void onTokens(Bucket bucket) {
        bucket.askIntervalMillis = FIRST_INTERVAL_MILLIS / 2;
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
        sendInTurn(nowMillis, bucket, live, asPassedOn(request, 0));
    }

    /** Passes on to likely holders what the home could not give. */
    void passOn(long nowMillis, Bucket bucket, Request request, long givenMicroTokens) {
        if (request.wantedMicroTokens() <= givenMicroTokens) {
            return;
        }
        List<VmId> holders = new ArrayList<>(bucket.holders);
        holders.removeIf(vm -> vm.equals(request.asker()) || vm.equals(self) || !alive.test(vm));
        sendInTurn(nowMillis, bucket, holders, asPassedOn(request, givenMicroTokens));
    }

    /** Sends to the last of the candidates, which asked most recently, and to the others in turn. */
    private void sendInTurn(long nowMillis, Bucket bucket, List<VmId> candidates, Request request) {
        if (candidates.isEmpty()) {
            return;
        }
        sendWithinBudget(nowMillis, candidates.remove(candidates.size() - 1), request);
        for (int count = 1; count < PASSED_ON_TO && !candidates.isEmpty(); count++) {
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

    /** Notes that an entry may hold parts of an account. */
    void noteHolder(Bucket bucket, VmId holder) {
        if (holder.equals(self)) {
            return;
        }
        bucket.holders.remove(holder);
        bucket.holders.add(holder);
        if (bucket.holders.size() > HOLDERS_KEPT) {
            bucket.holders.remove(0);
        }
    }

    private void sendWithinBudget(long nowMillis, VmId to, Request request) {
        if (budget.tryUse(nowMillis)) {
            sender.accept(to, request);
        }
    }
}
