package org.quetzalshunt.core.decision.queue;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.agrona.collections.Object2ObjectHashMap;
import org.quetzalshunt.core.decision.WorkItem;

/**
 * Waiting requests of one service, by client account.
 *
 * <p>Accounts are served by start-time fair queueing (Goyal et al. 1996) with tokens of work in place of packets,
 * as in the virtual token counter (Sheng et al., OSDI 2024): the account with the lowest charged work by weight goes
 * next, and an account that comes back from a rest is lifted to the lowest counter among the active ones, so that
 * rest earns no claim on the others.
 */
public final class FairQueue {
    /** Weight below which a document's value counts as this, since a zero would divide by zero. */
    static final double SMALLEST_WEIGHT = 0.001;

    /**
     * Requests of one account's heap that are tried before the heap counts as blocked. Answers head-of-line
     * blocking: the first request's cache sits on a full endpoint while the next one's has room. More tries cost
     * more at saturation, when all are blocked; with 6 endpoints 8 tries find room with 99% where 60% are full.
     */
    static final int LOOKAHEAD = 8;

    /**
     * Part of its share of what runs up to which an account may use the room kept for such accounts. At 1.0 accounts
     * that are all at their share claim it in turn, and goodput at twice the capacity falls to 0.94; at 0.5 a quiet
     * account with a few programs at once loses its claim, and its p95 beside a flood is 1.6 times its own in place
     * of 1.36 (trials with two and three seeds).
     */
    static final double UNDERSERVED_PART = 0.8;

    private final QueueOrder order;
    private final WorkCharge charge;
    private final ProgramTable programs;
    private final Map<String, AccountQueue> accounts = new Object2ObjectHashMap<>();
    private final List<AccountQueue> accountList = new ArrayList<>();
    private final List<AccountQueue> candidates = new ArrayList<>();
    private int queued;

    private FairQueue(QueueOrder order, WorkCharge charge, ProgramTable programs) {
        this.order = order;
        this.charge = charge;
        this.programs = programs;
    }

    /** An empty queue. */
    public static FairQueue create(QueueOrder order, WorkCharge charge, ProgramTable programs) {
        return new FairQueue(order, charge, programs);
    }

    /** Row of a client account, made when first asked for. */
    public AccountQueue account(String name) {
        return accounts.computeIfAbsent(name, this::addAccount);
    }

    private AccountQueue addAccount(String name) {
        AccountQueue account = AccountQueue.named(name);
        accountList.add(account);
        return account;
    }

    /** All accounts seen. */
    public Collection<AccountQueue> accounts() {
        return accountList;
    }

    /** Requests that wait, over all accounts. */
    public int queued() {
        return queued;
    }

    /** Queues a request. */
    public WaitingItem add(WorkItem item, long expectedWork, boolean continuing) {
        AccountQueue account = account(item.clientAccount());
        if (!account.active()) {
            account.liftCounter(lowestActiveCounter());
        }
        WaitingItem waiting = WaitingItem.of(item, expectedWork, continuing, order.key(item, programs.attained(item)));
        account.add(waiting);
        queued++;
        return waiting;
    }

    private double lowestActiveCounter() {
        double lowest = Double.POSITIVE_INFINITY;
        for (AccountQueue account : accountList) {
            if (account.active()) {
                lowest = Math.min(lowest, account.counter());
            }
        }
        return lowest == Double.POSITIVE_INFINITY ? 0 : lowest;
    }

    /** Takes a request out, whatever the reason. */
    public void remove(WaitingItem waiting) {
        account(waiting.item().clientAccount()).remove(waiting);
        queued--;
    }

    /** Charges an account at dispatch, as a correction while the request runs, or at its end. */
    public void charge(long nowMillis, WorkItem item, long tokensOfWork, boolean first) {
        AccountQueue account = account(item.clientAccount());
        account.charge(charge.charge(tokensOfWork, first));
        account.attain(tokensOfWork);
        programs.attain(nowMillis, item, tokensOfWork);
    }

    /** Counts a request that started. */
    public void started(WorkItem item) {
        account(item.clientAccount()).started();
    }

    /** Counts a request that ended. */
    public void ended(WorkItem item) {
        account(item.clientAccount()).ended();
    }

    /**
     * Whether an account has at most {@link #UNDERSERVED_PART} of its share of what runs, by weight among the active
     * accounts.
     */
    public boolean underserved(String accountName) {
        AccountQueue account = account(accountName);
        double weights = 0;
        int running = 0;
        int active = 0;
        for (AccountQueue other : accountList) {
            if (other.active()) {
                weights += other.weight();
                running += other.running();
                active++;
            }
        }
        return active > 1 && account.running() * weights <= UNDERSERVED_PART * account.weight() * running;
    }

    /**
     * The next request that can be placed: by account, then requests of programs that have begun, then new programs.
     * New programs wait at saturation without this order too, but at the cost of work in progress, which is then lost
     * at its deadline; the room that is kept for programs in progress is the scheduler's, not the queue's.
     *
     * @param place says where a request can go now; empty when nowhere
     * @param <P> type of a place
     */
    public <P> Optional<Placed<P>> next(Function<WaitingItem, Optional<P>> place) {
        candidates.clear();
        for (AccountQueue account : accountList) {
            if (account.queued() > 0) {
                candidates.add(account);
            }
        }
        while (!candidates.isEmpty()) {
            AccountQueue account = candidates.remove(lowest());
            Optional<Placed<P>> placed = tryHeads(account, true, place).or(() -> tryHeads(account, false, place));
            if (placed.isPresent()) {
                return placed;
            }
        }
        return Optional.empty();
    }

    private int lowest() {
        int best = 0;
        for (int index = 1; index < candidates.size(); index++) {
            if (before(candidates.get(index), candidates.get(best))) {
                best = index;
            }
        }
        return best;
    }

    private boolean before(AccountQueue one, AccountQueue other) {
        if (one.counter() != other.counter()) {
            return one.counter() < other.counter();
        }
        return headKey(one) < headKey(other);
    }

    private long headKey(AccountQueue account) {
        return Math.min(headKey(account, true), headKey(account, false));
    }

    private long headKey(AccountQueue account, boolean continuing) {
        List<WaitingItem> heads = account.heads(continuing, 1, programs, order);
        return heads.isEmpty() ? Long.MAX_VALUE : heads.get(0).key();
    }

    private <P> Optional<Placed<P>> tryHeads(
            AccountQueue account, boolean continuing, Function<WaitingItem, Optional<P>> place) {
        for (WaitingItem head : account.heads(continuing, LOOKAHEAD, programs, order)) {
            Optional<P> found = place.apply(head);
            if (found.isPresent()) {
                return Optional.of(new Placed<>(head, found.get()));
            }
        }
        return Optional.empty();
    }

    /**
     * A request with the place found for it.
     *
     * @param waiting the request, still queued
     * @param place where it can go
     * @param <P> type of the place
     */
    public record Placed<P>(WaitingItem waiting, P place) {}
}
