package org.quetzalshunt.core.decision.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * The queued requests of a client account of one service, its virtual counter and its totals. Requests of programs in
 * progress and of new programs are in separate heaps.
 */
public final class AccountQueue {
    private static final Comparator<WaitingItem> BY_KEY = Comparator.comparingLong(WaitingItem::key)
            .thenComparingLong(waiting -> waiting.item().id());

    private final String name;
    private final PriorityQueue<WaitingItem> inProgress = new PriorityQueue<>(BY_KEY);
    private final PriorityQueue<WaitingItem> newPrograms = new PriorityQueue<>(BY_KEY);
    private double weight = 1;
    private double counter;
    private int queued;
    private int running;
    private long inProgressWork;
    private long newProgramWork;
    private long attainedTokens;

    private AccountQueue(String name) {
        this.name = name;
    }

    static AccountQueue named(String name) {
        return new AccountQueue(name);
    }

    /** Name of the client account. */
    public String name() {
        return name;
    }

    /** Number of queued requests. */
    public int queued() {
        return queued;
    }

    /** Number of requests that this entry has running. */
    public int running() {
        return running;
    }

    /** Work since this entry started, whatever the charge of the policy. */
    public long attainedTokens() {
        return attainedTokens;
    }

    /** Weight that determines the share of the account under contention. */
    public double weight() {
        return weight;
    }

    /** Work queued ahead of a new request: requests of programs in progress wait only for each other. */
    public long workAhead(boolean programInProgress) {
        return programInProgress ? inProgressWork : inProgressWork + newProgramWork;
    }

    boolean isActive() {
        return queued > 0 || running > 0;
    }

    double counter() {
        return counter;
    }

    void raiseCounter(double floor) {
        counter = Math.max(counter, floor);
    }

    void charge(double amount) {
        counter += amount / weight;
    }

    void addAttainedTokens(long tokens) {
        attainedTokens += tokens;
    }

    void recordStart() {
        running++;
    }

    void recordEnd() {
        running--;
    }

    void add(WaitingItem waiting) {
        weight = Math.max(FairQueue.MINIMUM_WEIGHT, waiting.item().weight());
        heap(waiting.isProgramInProgress()).add(waiting);
        queued++;
        addWork(waiting, waiting.expectedWork());
    }

    void remove(WaitingItem waiting) {
        waiting.markRemoved();
        queued--;
        addWork(waiting, -waiting.expectedWork());
    }

    private void addWork(WaitingItem waiting, long work) {
        if (waiting.isProgramInProgress()) {
            inProgressWork += work;
        } else {
            newProgramWork += work;
        }
    }

    /**
     * Returns the first requests of one heap in order, at most {@code most}. The work attained by a program may have
     * grown since its request was queued; such a request is reinserted with its current key, which is never lower.
     */
    List<WaitingItem> heads(boolean programsInProgress, int most, ProgramTable programs, QueueOrder order) {
        PriorityQueue<WaitingItem> heap = heap(programsInProgress);
        List<WaitingItem> heads = new ArrayList<>(most);
        while (heads.size() < most) {
            Optional<WaitingItem> head = takeHead(heap, programs, order);
            if (head.isEmpty()) {
                break;
            }
            heads.add(head.get());
        }
        heap.addAll(heads);
        return heads;
    }

    private static Optional<WaitingItem> takeHead(
            PriorityQueue<WaitingItem> heap, ProgramTable programs, QueueOrder order) {
        while (true) {
            WaitingItem head = heap.poll();
            if (head == null) {
                return Optional.empty();
            }
            if (head.isRemoved()) {
                continue;
            }
            long key = order.key(head.item(), programs.attainedTokens(head.item()));
            if (key <= head.key()) {
                return Optional.of(head);
            }
            head.setKey(key);
            heap.add(head);
        }
    }

    private PriorityQueue<WaitingItem> heap(boolean programsInProgress) {
        return programsInProgress ? inProgress : newPrograms;
    }
}
