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
 * Queue of the requests of one service, by client account.
 *
 * <p>Accounts are served by start-time fair queueing (Goyal et al. 1996) with tokens of work instead of packets, as in
 * the virtual token counter (Sheng et al., OSDI 2024). The account with the lowest charged work by weight is served
 * next. The counter of an account that was idle is raised to the lowest counter among the active ones, so that an
 * account gains no advantage from idle time.
 */
public final class FairQueue {
    /** Minimum weight of an account, since a weight of zero in the service document would cause a division by zero. */
    static final double MINIMUM_WEIGHT = 0.001;

    /**
     * Number of requests of one heap that are tried before the heap counts as blocked. It avoids head-of-line blocking,
     * where the prefix of the first request is cached at a full endpoint while the next request could start. More tries
     * cost more at saturation, when all requests are blocked; with 6 endpoints, 8 tries find capacity with 99%
     * probability where 60% of the endpoints are full.
     */
    static final int LOOKAHEAD = 8;

    /**
     * Part of its fair share of the running requests up to which an account may use the capacity reserved for
     * underserved accounts. At 1.0, accounts that are all at their share use it in turn, and goodput at twice the
     * capacity falls to 0.94. At 0.5, a quiet account with a few concurrent programs loses the privilege, and a flood
     * from another account raises its p95 by a factor of 1.6 instead of 1.36.
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

    /** Creates an empty queue. */
    public static FairQueue create(QueueOrder order, WorkCharge charge, ProgramTable programs) {
        return new FairQueue(order, charge, programs);
    }

    /** Returns the queue of a client account, which is created if necessary. */
    public AccountQueue account(String name) {
        return accounts.computeIfAbsent(name, this::addAccount);
    }

    private AccountQueue addAccount(String name) {
        AccountQueue account = AccountQueue.named(name);
        accountList.add(account);
        return account;
    }

    /** All accounts that had a request. */
    public Collection<AccountQueue> accounts() {
        return accountList;
    }

    /** Number of queued requests of all accounts. */
    public int queued() {
        return queued;
    }

    /** Queues a request. */
    public WaitingItem add(WorkItem item, long expectedWork, boolean programInProgress) {
        AccountQueue account = account(item.clientAccount());
        if (!account.isActive()) {
            account.raiseCounter(lowestActiveCounter());
        }
        WaitingItem waiting =
                WaitingItem.of(item, expectedWork, programInProgress, order.key(item, programs.attainedTokens(item)));
        account.add(waiting);
        queued++;
        return waiting;
    }

    private double lowestActiveCounter() {
        double lowest = Double.POSITIVE_INFINITY;
        for (AccountQueue account : accountList) {
            if (account.isActive()) {
                lowest = Math.min(lowest, account.counter());
            }
        }
        return lowest == Double.POSITIVE_INFINITY ? 0 : lowest;
    }

    /** Removes a request from the queue, whether it starts, expires or is withdrawn. */
    public void remove(WaitingItem waiting) {
        account(waiting.item().clientAccount()).remove(waiting);
        queued--;
    }

    /** Charges an account at dispatch, and for corrections while the request runs and at its end. */
    public void charge(long nowMillis, WorkItem item, long tokensOfWork, boolean first) {
        AccountQueue account = account(item.clientAccount());
        account.charge(charge.charge(tokensOfWork, first));
        account.addAttainedTokens(tokensOfWork);
        programs.addAttainedTokens(nowMillis, item, tokensOfWork);
    }

    /** Records the start of a request. */
    public void recordStart(WorkItem item) {
        account(item.clientAccount()).recordStart();
    }

    /** Records the end of a request. */
    public void recordEnd(WorkItem item) {
        account(item.clientAccount()).recordEnd();
    }

    /**
     * Whether an account has at most {@link #UNDERSERVED_PART} of its fair share of the running requests, by weight
     * among the active accounts.
     */
    public boolean isUnderserved(String accountName) {
        AccountQueue account = account(accountName);
        double weights = 0;
        int running = 0;
        int active = 0;
        for (AccountQueue other : accountList) {
            if (other.isActive()) {
                weights += other.weight();
                running += other.running();
                active++;
            }
        }
        return active > 1 && account.running() * weights <= UNDERSERVED_PART * account.weight() * running;
    }

    /**
     * Returns the next request that can start: by account, then requests of programs in progress before new programs.
     * Without this order new programs wait at saturation as well, but at the cost of work in progress, which is lost at
     * its deadline. The capacity reserved for programs in progress is managed by the scheduler, not by this queue.
     *
     * @param findTarget finds the target of a request; empty if it cannot start now
     * @param <P> type of the target
     */
    public <P> Optional<Placed<P>> next(Function<WaitingItem, Optional<P>> findTarget) {
        candidates.clear();
        for (AccountQueue account : accountList) {
            if (account.queued() > 0) {
                candidates.add(account);
            }
        }
        while (!candidates.isEmpty()) {
            AccountQueue account = candidates.remove(indexOfNext());
            Optional<Placed<P>> placed =
                    tryHeads(account, true, findTarget).or(() -> tryHeads(account, false, findTarget));
            if (placed.isPresent()) {
                return placed;
            }
        }
        return Optional.empty();
    }

    private int indexOfNext() {
        int best = 0;
        for (int index = 1; index < candidates.size(); index++) {
            if (precedes(candidates.get(index), candidates.get(best))) {
                best = index;
            }
        }
        return best;
    }

    private boolean precedes(AccountQueue one, AccountQueue other) {
        if (one.counter() != other.counter()) {
            return one.counter() < other.counter();
        }
        return headKey(one) < headKey(other);
    }

    private long headKey(AccountQueue account) {
        return Math.min(headKey(account, true), headKey(account, false));
    }

    private long headKey(AccountQueue account, boolean programInProgress) {
        List<WaitingItem> heads = account.heads(programInProgress, 1, programs, order);
        return heads.isEmpty() ? Long.MAX_VALUE : heads.get(0).key();
    }

    private <P> Optional<Placed<P>> tryHeads(
            AccountQueue account, boolean programInProgress, Function<WaitingItem, Optional<P>> findTarget) {
        for (WaitingItem head : account.heads(programInProgress, LOOKAHEAD, programs, order)) {
            Optional<P> found = findTarget.apply(head);
            if (found.isPresent()) {
                return Optional.of(new Placed<>(head, found.get()));
            }
        }
        return Optional.empty();
    }

    /**
     * A request with its target.
     *
     * @param waiting the request, which is still queued
     * @param target where it can run
     * @param <P> type of the target
     */
    public record Placed<P>(WaitingItem waiting, P target) {}
}
