package org.quetzalshunt.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import org.agrona.collections.Long2ObjectHashMap;
import org.agrona.collections.LongHashSet;
import org.quetzalshunt.core.vm.VmId;

/**
 * Tracks transfers that were sent and not yet acknowledged, and those that were received.
 *
 * <p>Ensures that each transfer is applied exactly once while its generation lasts. A duplicate would allow an account
 * to exceed its rate and burst, so the receiver accepts each transfer number of a sender only once. It discards the
 * numbers below {@code settledBelow}, for all of which the sender has received acknowledgements. A lost transfer would
 * cause refusals below the rate, so the sender retransmits it until it is acknowledged. The sender never cancels a
 * transfer, since the receiver may have applied it and crashed before sending the acknowledgement.
 */
final class TransferLedger {
    /** Much longer than the few milliseconds of a round trip in the region, so unneeded retransmissions are rare. */
    private static final long RETRANSMIT_MILLIS = 100;

    /**
     * Time after an acknowledgement during which the peer is considered alive. It is shorter than the time to detect a
     * lost connection.
     */
    private static final long RESPONSIVE_MILLIS = 250;

    private final Map<VmId, Outbox> outboxes = new HashMap<>();
    private final Map<VmId, Inbox> inboxes = new HashMap<>();
    private int pending;

    /** Assigns a number to a transfer and retains it for retransmission until it is acknowledged. */
    LimitMessage.Transfer send(long nowMillis, VmId to, long generation, AccountKey key, long parts, long tokens) {
        Outbox outbox = outboxes.computeIfAbsent(to, vm -> new Outbox());
        long number = outbox.nextNumber++;
        LimitMessage.Transfer transfer =
                new LimitMessage.Transfer(generation, number, outbox.settledBelow, key, parts, tokens);
        outbox.unacknowledged.put(number, new Sent(transfer, nowMillis));
        pending++;
        return transfer;
    }

    void onAcknowledgement(long nowMillis, VmId by, long number) {
        Outbox outbox = outboxes.get(by);
        if (outbox == null || outbox.unacknowledged.remove(number) == null) {
            return;
        }
        pending--;
        outbox.acknowledgedMillis = nowMillis;
        while (outbox.settledBelow < outbox.nextNumber && !outbox.unacknowledged.containsKey(outbox.settledBelow)) {
            outbox.settledBelow++;
        }
    }

    /** Whether a peer acknowledged a transfer recently, so that it is very likely alive. */
    boolean isResponsive(long nowMillis, VmId peer) {
        Outbox outbox = outboxes.get(peer);
        return outbox != null && nowMillis - outbox.acknowledgedMillis <= RESPONSIVE_MILLIS;
    }

    /** Whether transfers to a peer are not acknowledged yet. */
    boolean isPending(VmId peer) {
        Outbox outbox = outboxes.get(peer);
        return outbox != null && !outbox.unacknowledged.isEmpty();
    }

    /** Records a transfer. Returns false if it is a duplicate. */
    boolean receive(VmId from, LimitMessage.Transfer transfer) {
        Inbox inbox = inboxes.computeIfAbsent(from, vm -> new Inbox());
        if (transfer.settledBelow() > inbox.settledBelow) {
            inbox.forgetBelow(transfer.settledBelow());
        }
        return transfer.transfer() >= inbox.settledBelow && inbox.received.add(transfer.transfer());
    }

    /** Sends the unacknowledged transfers again whose retransmission is due. */
    void retransmit(long nowMillis, BiConsumer<VmId, LimitMessage.Transfer> sender) {
        if (pending == 0) {
            return;
        }
        outboxes.forEach((vm, outbox) -> outbox.unacknowledged.values().forEach(sent -> {
            if (nowMillis - sent.sentMillis >= RETRANSMIT_MILLIS) {
                sent.sentMillis = nowMillis;
                sender.accept(vm, sent.transfer);
            }
        }));
    }

    int pending() {
        return pending;
    }

    long pendingParts(AccountKey key) {
        return outboxes.values().stream()
                .flatMap(outbox -> outbox.unacknowledged.values().stream())
                .filter(sent -> sent.transfer.key().equals(key))
                .mapToLong(sent -> sent.transfer.parts())
                .sum();
    }

    /** Discards all state at the start of a new generation, which invalidates the transfers of the previous one. */
    void clear() {
        outboxes.clear();
        inboxes.clear();
        pending = 0;
    }

    private static final class Outbox {
        final Long2ObjectHashMap<Sent> unacknowledged = new Long2ObjectHashMap<>();
        long nextNumber = 1;
        long settledBelow = 1;
        long acknowledgedMillis = Long.MIN_VALUE / 2;
    }

    private static final class Sent {
        final LimitMessage.Transfer transfer;
        long sentMillis;

        Sent(LimitMessage.Transfer transfer, long sentMillis) {
            this.transfer = transfer;
            this.sentMillis = sentMillis;
        }
    }

    private static final class Inbox {
        final LongHashSet received = new LongHashSet();
        long settledBelow = 1;

        void forgetBelow(long below) {
            for (long number = settledBelow; number < below; number++) {
                received.remove(number);
            }
            settledBelow = below;
        }
    }
}
