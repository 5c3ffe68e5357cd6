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

/**
 * Requests tokens from other entries before the local ones run out, and at a home forwards the requests of other
 * entries.
 */
final class TokenFetcher {
    /**
     * Tokens are requested when those left cover less than this much traffic. It is several times the round trip to a
     * peer.
     */
    private static final double REFILL_THRESHOLD_SECONDS = 0.03;

    /** A request asks for the tokens of this much traffic. */
    private static final double REQUESTED_SECONDS = 0.1;

    /** Shortest interval between two requests, a few times the path to the home, to a holder, and back. */
    private static final long MINIMUM_INTERVAL_MILLIS = 10;

    /**
     * Requests that wait without interruption for longer indicate an account over its rate. Until then the shortest
     * interval applies.
     */
    private static final long OVER_RATE_MILLIS = 400;

    /**
     * Longest interval, for an account over its rate. It must not exceed the wait of a request, or one entry would
     * starve beside others.
     */
    private static final long MAXIMUM_INTERVAL_MILLIS = 200;

    /**
     * Holders to which a home forwards one request. If the requester asks again soon, the home forwards to all known
     * holders.
     */
    private static final int FORWARD_LIMIT = 3;

    /** A second request within this time means that the first brought too few tokens. */
    private static final long REPEATED_REQUEST_MILLIS = 100;

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

    void onLiveMembers(Set<VmId> live) {
        alive = live::contains;
    }

    boolean isAlive(VmId vm) {
        return alive.test(vm);
    }

    /** Requests tokens if the bucket is short of them and a request is due. */
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
        if (!isShort(bucket, demand) || nowMillis - bucket.requestedMillis < bucket.requestIntervalMillis) {
            return;
        }
        boolean newlyShort = nowMillis - bucket.shortSinceMillis < OVER_RATE_MILLIS;
        bucket.requestIntervalMillis = newlyShort
                ? MINIMUM_INTERVAL_MILLIS
                : Math.min(MAXIMUM_INTERVAL_MILLIS, bucket.requestIntervalMillis * 2);
        bucket.requestedMillis = nowMillis;
        sendRequest(nowMillis, bucket, demand);
    }

    private static boolean isShort(Bucket bucket, double demand) {
        if (!bucket.waiting.isEmpty()) {
            return true;
        }
        boolean earnsEnough = bucket.rateMicroTokens() / (double) ALL_PARTS * bucket.parts() >= demand * MICRO_TOKENS;
        double threshold = Math.min(demand * REFILL_THRESHOLD_SECONDS * MICRO_TOKENS, bucket.burstMicroTokens() / 4.0);
        return !earnsEnough && bucket.level() < threshold;
    }

    /** Records a request served here, which allows further messages for fetching. */
    void onServed(long nowMillis) {
        budget.onServed(nowMillis);
    }

    private void sendRequest(long nowMillis, Bucket bucket, double demand) {
        long wantedMicroTokens =
                bucket.waiting.size() * MICRO_TOKENS + (long) (demand * REQUESTED_SECONDS * MICRO_TOKENS);
        long requestedMicroTokens =
                Math.min(bucket.burstMicroTokens(), Math.max(MICRO_TOKENS, wantedMicroTokens)) - bucket.level();
        if (requestedMicroTokens <= 0) {
            return;
        }
        Request request = new Request(
                generation.offset,
                bucket.key,
                self,
                requestedMicroTokens,
                bucket.parts(),
                (long) (demand * 1_000),
                false);
        Optional<VmId> home = generation.home(bucket.key).filter(alive);
        if (home.filter(self::equals).isPresent()) {
            forward(nowMillis, bucket, request, 0);
            return;
        }
        if (home.isPresent()) {
            sendWithinBudget(nowMillis, home.get(), request);
            return;
        }
        requestFromMembers(nowMillis, bucket, request);
    }

    /** Without a live home, sends the request to members in rotation, since some of them hold the parts. */
    private void requestFromMembers(long nowMillis, Bucket bucket, Request request) {
        List<VmId> live = new ArrayList<>(generation.record.members());
        live.removeIf(vm -> vm.equals(self) || !alive.test(vm));
        sendInRotation(nowMillis, bucket, live, FORWARD_LIMIT, forwarded(request, 0));
    }

    /** Forwards to likely holders a request that the home could not fully serve. */
    void forward(long nowMillis, Bucket bucket, Request request, long givenMicroTokens) {
        // If a home that holds nearly all parts cannot serve the request, no other entry can.
        boolean othersHoldLittle = bucket.parts() > ALL_PARTS * 15 / 16;
        if (request.wantedMicroTokens() <= givenMicroTokens || othersHoldLittle) {
            return;
        }
        List<VmId> holders = bucket.holderHints.all();
        holders.removeIf(vm -> vm.equals(request.requester()) || vm.equals(self) || !alive.test(vm));
        boolean isRepeated =
                bucket.holderHints.requestedWithin(nowMillis, REPEATED_REQUEST_MILLIS, request.requester());
        int limit = isRepeated ? holders.size() : FORWARD_LIMIT;
        sendInRotation(nowMillis, bucket, holders, limit, forwarded(request, givenMicroTokens));
    }

    /**
     * Sends to the last of the candidates, which requested tokens most recently, and to some of the others in rotation.
     */
    private void sendInRotation(long nowMillis, Bucket bucket, List<VmId> candidates, int limit, Request request) {
        if (candidates.isEmpty()) {
            return;
        }
        sendWithinBudget(nowMillis, candidates.remove(candidates.size() - 1), request);
        for (int count = 1; count < limit && !candidates.isEmpty(); count++) {
            bucket.nextHolderIndex++;
            int index = Math.floorMod(bucket.nextHolderIndex, candidates.size());
            sendWithinBudget(nowMillis, candidates.remove(index), request);
        }
    }

    private static Request forwarded(Request request, long givenMicroTokens) {
        return new Request(
                request.generation(),
                request.key(),
                request.requester(),
                request.wantedMicroTokens() - givenMicroTokens,
                request.heldParts(),
                request.demandMilliTokens(),
                true);
    }

    private void sendWithinBudget(long nowMillis, VmId to, Request request) {
        if (budget.tryAcquire(nowMillis)) {
            sender.accept(to, request);
        }
    }
}
