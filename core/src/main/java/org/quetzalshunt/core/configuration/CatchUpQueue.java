package org.quetzalshunt.core.configuration;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;

/**
 * Queue of requests that wait while this node reads the changes that a peer has applied. They are checked against the
 * new configuration once it is read, and refused as soon as the read has failed or has taken too long.
 *
 * <p>Load pattern: a change is applied just when the log returns after an outage. All nodes but one are then behind for
 * one read, and without the queue all of their callers would be refused.
 */
public final class CatchUpQueue {
    private static final long MAXIMUM_WAIT_MILLIS = 1_000;

    /** Each queued request keeps a connection and a request body; more requests are refused at once. */
    private static final int MAXIMUM_REQUESTS = 400;

    private final List<Waiting> waiting = new ArrayList<>();

    /** A request in the queue; exactly one of the methods is called, once. */
    public interface Request {
        /** Continues the request: the configuration is fresh. */
        void proceed();

        /** Refuses the request: the configuration is stale. */
        void refuse();
    }

    private record Waiting(long untilMillis, Request request) {}

    private CatchUpQueue() {}

    /** Creates an empty queue. */
    public static CatchUpQueue create() {
        return new CatchUpQueue();
    }

    /** Queues a request; returns false if the queue is full. */
    public boolean offer(long nowMillis, Request request) {
        if (waiting.size() >= MAXIMUM_REQUESTS) {
            return false;
        }
        waiting.add(new Waiting(nowMillis + MAXIMUM_WAIT_MILLIS, request));
        return true;
    }

    /** Continues or refuses the requests that need not wait any longer. */
    public void tick(long nowMillis, ConfigurationStatus status) {
        List<Request> due = removeDue(nowMillis, status);
        due.forEach(status == ConfigurationStatus.FRESH ? Request::proceed : Request::refuse);
    }

    private List<Request> removeDue(long nowMillis, ConfigurationStatus status) {
        List<Request> due = new ArrayList<>();
        for (Iterator<Waiting> iterator = waiting.iterator(); iterator.hasNext(); ) {
            Waiting next = iterator.next();
            if (status != ConfigurationStatus.CATCHING_UP || nowMillis >= next.untilMillis()) {
                iterator.remove();
                due.add(next.request());
            }
        }
        return due;
    }

    /** Number of waiting requests. */
    public int size() {
        return waiting.size();
    }
}
