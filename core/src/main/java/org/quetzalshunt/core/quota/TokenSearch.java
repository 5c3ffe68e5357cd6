package org.quetzalshunt.core.quota;

import java.util.List;
import java.util.function.Consumer;

/**
 * Requests one token of an account from the VMs that hold shares of its quota. Each holder is first asked for a token
 * that is available now. If none has one, the holder with the shortest wait is asked for a token that has yet to be
 * earned.
 *
 * <p>Load pattern: several calls of one account arrive at once, more than the first holder has tokens for. If each
 * holder in turn were asked with the whole wait, the first would grant its tokens of the next 750 ms while the second,
 * with a third of the burst, has tokens available. Every turn of an account near its rate would then be late by that
 * wait, and a program of nine turns by nine such waits.
 */
public final class TokenSearch {
    /** Result of a search. */
    public sealed interface Result {
        /** A token that may be used after a wait. */
        record Granted(long waitMillis) implements Result {}

        /** The account is over its quota. The shortest wait for a token of any holder would have been this long. */
        record OverQuota(long shortestWaitMillis) implements Result {}

        /** No VM that holds a share of the quota answered, so it is unknown whether the account is within its quota. */
        record NoHolder() implements Result {}
    }

    /** Requests a token from one holder. */
    @FunctionalInterface
    public interface TokenRequester {
        /** Sends the request. The answer is passed on exactly once, before or after this method returns. */
        void request(String holder, long maximumWaitMillis, Consumer<TokenOffer> answer);
    }

    private final List<String> holders;
    private final long maximumWaitMillis;
    private final TokenRequester requester;
    private final Consumer<Result> listener;
    private int bestIndex = -1;
    private long shortestWaitMillis = TokenOffer.NEVER;

    private TokenSearch(
            List<String> holders, long maximumWaitMillis, TokenRequester requester, Consumer<Result> listener) {
        this.holders = holders;
        this.maximumWaitMillis = maximumWaitMillis;
        this.requester = requester;
        this.listener = listener;
    }

    /**
     * Starts a search.
     *
     * @param holders VMs to ask, in descending order of their shares
     * @param maximumWaitMillis longest time that the request can wait
     * @param listener receives the result, exactly once
     */
    public static void start(
            List<String> holders, long maximumWaitMillis, TokenRequester requester, Consumer<Result> listener) {
        new TokenSearch(holders, maximumWaitMillis, requester, listener).ask(0);
    }

    private void ask(int index) {
        if (index == holders.size()) {
            askBestHolder();
            return;
        }
        requester.request(holders.get(index), 0, offer -> {
            if (offer.taken()) {
                listener.accept(new Result.Granted(offer.waitMillis()));
                return;
            }
            if (offer.waitMillis() < shortestWaitMillis) {
                shortestWaitMillis = offer.waitMillis();
                bestIndex = index;
            }
            ask(index + 1);
        });
    }

    private void askBestHolder() {
        if (bestIndex < 0) {
            listener.accept(new Result.NoHolder());
            return;
        }
        if (shortestWaitMillis > maximumWaitMillis) {
            listener.accept(new Result.OverQuota(shortestWaitMillis));
            return;
        }
        requester.request(holders.get(bestIndex), maximumWaitMillis, offer -> listener.accept(result(offer)));
    }

    /** Result of the second request to the best holder, which may have granted tokens to others since the first. */
    private Result result(TokenOffer offer) {
        return offer.taken()
                ? new Result.Granted(offer.waitMillis())
                : new Result.OverQuota(Math.min(offer.waitMillis(), shortestWaitMillis));
    }
}
