package org.quetzalshunt.core.quota;

import java.util.List;
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
    /** What came of a search. */
    public sealed interface Result {
        /** A token that may be used after a wait. */
        record Granted(long waitMillis) implements Result {}

        /** The account is over its quota; a token would have been there after this time. */
        record OverQuota(long shortestMillis) implements Result {}

        /** No VM that holds a share of the quota answered: nothing is known of the account. */
        record NoHolder() implements Result {}
    }

    /** Asks one holder for a token. */
    @FunctionalInterface
    public interface Asking {
        /** Asks; the answer comes now or later, once. */
        void ask(String holder, long maximumWaitMillis, Consumer<TokenOffer> answer);
    }

    private final List<String> holders;
    private final long maximumWaitMillis;
    private final Asking asking;
    private final Consumer<Result> listener;
    private int best = -1;
    private long shortestMillis = TokenOffer.NEVER;

    private TokenSearch(List<String> holders, long maximumWaitMillis, Asking asking, Consumer<Result> listener) {
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
     * @param listener receives the result, once
     */
    public static void start(List<String> holders, long maximumWaitMillis, Asking asking, Consumer<Result> listener) {
        new TokenSearch(holders, maximumWaitMillis, asking, listener).ask(0);
    }

    private void ask(int index) {
        if (index == holders.size()) {
            askBest();
            return;
        }
        asking.ask(holders.get(index), 0, offer -> {
            if (offer.taken()) {
                listener.accept(new Result.Granted(offer.waitMillis()));
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
        if (best < 0) {
            listener.accept(new Result.NoHolder());
            return;
        }
        if (shortestMillis > maximumWaitMillis) {
            listener.accept(new Result.OverQuota(shortestMillis));
            return;
        }
        asking.ask(holders.get(best), maximumWaitMillis, offer -> listener.accept(result(offer)));
    }

    /** The holder's answer to the second request: others may have been served meanwhile. */
    private Result result(TokenOffer offer) {
        return offer.taken()
                ? new Result.Granted(offer.waitMillis())
                : new Result.OverQuota(Math.min(offer.waitMillis(), shortestMillis));
    }
}
