package org.quetzalshunt.core.decision.queue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;

/** Row of a client account of one service: its two heaps of waiting requests and its virtual counter. */
public final class AccountQueue {
    private static final Comparator<WaitingItem> BY_KEY = Comparator.comparingLong(WaitingItem::key)
            .thenComparingLong(waiting -> waiting.item().id());

    private final String name;
    private final PriorityQueue<WaitingItem> continuing = new PriorityQueue<>(BY_KEY);
    private final PriorityQueue<WaitingItem> fresh = new PriorityQueue<>(BY_KEY);
    private double weight = 1;
    private double counter;
    private int queued;
    private int running;
    private long continuingWork;
    private long freshWork;
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

    /** Requests that wait. */
    public int queued() {
        return queued;
    }

    /** Requests that run from this entry. */
    public int running() {
        return running;
    }

    /** Work charged since the start, whatever the policy's charge is. */
    public long attainedTokens() {
        return attainedTokens;
    }

    /** Share under contention. */
    public double weight() {
        return weight;
    }

    /** Work that waits before a new request of this kind: continuing programs wait behind their like alone. */
    public long workAhead(boolean continuingItem) {
        return continuingItem ? continuingWork : continuingWork + freshWork;
    }

    boolean active() {
        return queued > 0 || running > 0;
    }

    double counter() {
        return counter;
    }

    void liftCounter(double floor) {
        counter = Math.max(counter, floor);
    }

    void charge(double amount) {
        counter += amount / weight;
    }

    void attain(long tokens) {
        attainedTokens += tokens;
    }

    void started() {
        running++;
    }

    void ended() {
        running--;
    }

    void add(WaitingItem waiting) {
        weight = Math.max(FairQueue.SMALLEST_WEIGHT, waiting.item().weight());
        heap(waiting.continuing()).add(waiting);
        queued++;
        count(waiting, waiting.expectedWork());
    }

    void remove(WaitingItem waiting) {
        waiting.markRemoved();
        queued--;
        count(waiting, -waiting.expectedWork());
    }

    private void count(WaitingItem waiting, long work) {
        if (waiting.continuing()) {
            continuingWork += work;
        } else {
            freshWork += work;
        }
    }

    /**
     * The first requests of one heap, at most so many, in order. A program's attained work may have grown since its
     * request was queued; such a request is filed anew under its present key, which is never lower.
     */
    List<WaitingItem> heads(boolean continuingItems, int most, ProgramTable programs, QueueOrder order) {
        PriorityQueue<WaitingItem> heap = heap(continuingItems);
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
            if (head.removed()) {
                continue;
            }
            long key = order.key(head.item(), programs.attained(head.item()));
            if (key <= head.key()) {
                return Optional.of(head);
            }
            head.rekey(key);
            heap.add(head);
        }
    }

    private PriorityQueue<WaitingItem> heap(boolean continuingItems) {
        return continuingItems ? continuing : fresh;
    }
}
