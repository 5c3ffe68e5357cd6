package org.quetzalshunt.core.quota;

import java.util.List;
import java.util.OptionalLong;
import java.util.function.Consumer;

/**
 * Looks for one token of an account among the VMs that hold parts of its rate: each is asked for one that is there now,
 * and only when none has one, the holder with the shortest wait for one that is still to be earned.
 *
 * <p>Load pattern: handfuls of calls of one account at once, more than its first holder has tokens for. Asked with the
 * whole wait in order, the first holder sells tokens of its next 750 ms while the second, with a third of the burst, has
 * them ready: every turn of an account near its rate is late by that wait, and a program of nine turns by nine.
 */
public final class TokenSearch {
    /** Asks one holder for a token. */
    @FunctionalInterface
    public interface Asking {
        /** Asks; the answer comes now or later, once. */
        void ask(String holder, long maximumWaitMillis, Consumer<TokenOffer> answer);
    }

    private final List<String> holders;
    private final long maximumWaitMillis;
    private final Asking asking;
    private final Consumer<OptionalLong> listener;
    private int best = -1;
    private long shortestMillis = TokenOffer.NEVER;

    private TokenSearch(List<String> holders, long maximumWaitMillis, Asking asking, Consumer<OptionalLong> listener) {
        this.holders = holders;
        this.maximumWaitMillis = maximumWaitMillis;
        this.asking = asking;
        this.listener = listener;
    }

    /**
     * Starts a search.
     *
     * @param holders VMs to ask, those that hold most first
     * @param maximumWaitMillis longest wait that the request can bear
     * @param listener hears how long the request must wait; empty when the account is over its rate
     */
    public static void start(
            List<String> holders, long maximumWaitMillis, Asking asking, Consumer<OptionalLong> listener) {
        new TokenSearch(holders, maximumWaitMillis, asking, listener).ask(0);
    }

    private void ask(int index) {
        if (index == holders.size()) {
            askBest();
            return;
        }
        asking.ask(holders.get(index), 0, offer -> {
            if (offer.taken()) {
                listener.accept(offer.granted());
                return;
            }
            if (offer.waitMillis() < shortestMillis) {
                shortestMillis = offer.waitMillis();
                best = index;
            }
            ask(index + 1);
        });
    }

    private void askBest() {
        if (best < 0 || shortestMillis > maximumWaitMillis) {
            listener.accept(OptionalLong.empty());
            return;
        }
        asking.ask(holders.get(best), maximumWaitMillis, offer -> listener.accept(offer.granted()));
    }
}
