package org.quetzalshunt.core.admission;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.Function;
import org.quetzalshunt.core.quota.QuotaWaitPolicy;
import org.quetzalshunt.core.quota.TokenBucket;
import org.quetzalshunt.core.quota.TokenOffer;
import org.quetzalshunt.core.quota.TokenSearch;

/**
 * Simulates programs of one account, in virtual time, whose quota is held by one or two owners. The requests of a program
 * follow each other, each after a turn or tool call of a fixed time. Callers retry a refused request once.
 */
final class QuotaSimulation {
    /** Time at which the simulation starts, with full shares. */
    static final long START_MILLIS = 60_000;

    private static final long STEP_MILLIS = 150;
    private static final double OBJECTIVE = 1.5;
    private static final long CALLER_MILLIS = 3_000;
    private static final int CONNECT_MILLIS = 40;

    /** Grants tokens of one owner's share. */
    interface Owner {
        TokenOffer reserve(long nowMillis, ProgramRequest request, long maximumWaitMillis);
    }

    /** A kind of programs, with the number of their requests and of programs per second. */
    record Kind(String name, int requests, int urgency, double programsPerSecond) {}

    private record Event(long millis, long order, Runnable action) {}

    private static final class Program {
        final Kind kind;
        final String name;
        final long arrivedMillis;

        Program(Kind kind, String name, long arrivedMillis) {
            this.kind = kind;
            this.name = name;
            this.arrivedMillis = arrivedMillis;
        }
    }

    /** What became of the programs of a kind. */
    static final class Count {
        int arrived;
        int inTime;

        double inTimeShare() {
            return inTime / (double) Math.max(1, arrived);
        }
    }

    private final Random random;
    private final List<Owner> owners = new ArrayList<>();
    private final List<String> holders = new ArrayList<>();
    private final boolean startSearch;
    private final PriorityQueue<Event> events = new PriorityQueue<>((one, other) -> one.millis() != other.millis()
            ? Long.compare(one.millis(), other.millis())
            : Long.compare(one.order(), other.order()));
    private long order;
    private int programs;
    private long now;

    /**
     * Creates an idle account whose shares are full, with a burst of one second's rate.
     *
     * @param startSearch whether first turns ask for the start of a program
     * @param parts parts of the rate that the owners hold
     */
    QuotaSimulation(double rate, boolean startSearch, long seed, Function<TokenBucket, Owner> owner, double... parts) {
        this.random = new Random(seed);
        this.startSearch = startSearch;
        for (double part : parts) {
            holders.add(Integer.toString(holders.size()));
            TokenBucket share = TokenBucket.create(0);
            share.setLimits(0, rate * part, rate * part);
            share.setLimits(START_MILLIS, rate * part, rate * part);
            owners.add(owner.apply(share));
        }
        now = START_MILLIS;
    }

    private void at(long millis, Runnable action) {
        events.add(new Event(millis, order++, action));
    }

    /** Adds programs that arrive at random until a time after the start of the simulation. */
    Count arrivals(Kind kind, long untilMillis) {
        Count count = new Count();
        double mean = 1_000 / kind.programsPerSecond();
        for (double at = -mean * Math.log(1 - random.nextDouble());
                at < untilMillis;
                at -= mean * Math.log(1 - random.nextDouble())) {
            long arrival = START_MILLIS + (long) at;
            Program program = new Program(kind, kind.name() + programs++, arrival);
            count.arrived++;
            at(arrival, () -> request(program, count, 0, 0));
        }
        return count;
    }

    void run() {
        while (!events.isEmpty()) {
            Event event = events.poll();
            now = event.millis();
            event.action().run();
        }
    }

    private void request(Program program, Count count, int request, int tries) {
        boolean starts = startSearch && request == 0;
        ProgramRequest tokenRequest = new ProgramRequest(
                Optional.of(program.name),
                starts ? Optional.of(program.kind.name()) : Optional.empty(),
                program.kind.urgency());
        TokenSearch.TokenRequester requester = (holder, wait, answer) ->
                answer.accept(owners.get(Integer.parseInt(holder)).reserve(now, tokenRequest, wait));
        if (starts) {
            StartSearch.start(
                    holders,
                    ReturnTimes.maximumPromiseMillis(CALLER_MILLIS),
                    requester,
                    result -> onResult(program, count, 0, tries, result),
                    () -> {
                        throw new AssertionError("a program starts once");
                    });
            return;
        }
        long wait = request == 0
                ? QuotaWaitPolicy.START_WAIT_MILLIS
                : QuotaWaitPolicy.maximumWaitMillis(false, false, CALLER_MILLIS);
        TokenSearch.start(holders, wait, requester, result -> onResult(program, count, request, tries, result));
    }

    private void onResult(Program program, Count count, int request, int tries, TokenSearch.Result result) {
        if (result instanceof TokenSearch.Result.Granted granted) {
            long ends = now + granted.waitMillis() + STEP_MILLIS;
            at(ends, () -> onEnd(program, count, request));
            return;
        }
        if (tries > 0) {
            return;
        }
        long retry = QuotaWaitPolicy.retryAfterMillis(request == 0, 1_000, CALLER_MILLIS, random.nextDouble());
        if (startSearch && request == 0 && result instanceof TokenSearch.Result.OverQuota overQuota) {
            retry = ReturnTimes.retryAfterMillis(overQuota.shortestWaitMillis(), CALLER_MILLIS, random.nextDouble());
        }
        at(now + retry + random.nextInt(CONNECT_MILLIS), () -> request(program, count, request, tries + 1));
    }

    private void onEnd(Program program, Count count, int request) {
        if (request < program.kind.requests() - 1) {
            request(program, count, request + 1, 0);
            return;
        }
        long objective = (long) (OBJECTIVE * STEP_MILLIS * program.kind.requests());
        count.inTime += now - program.arrivedMillis <= objective ? 1 : 0;
    }
}
