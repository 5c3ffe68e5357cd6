package org.quetzalshunt.core.admission;

import java.util.List;
import java.util.function.Consumer;
import org.quetzalshunt.core.quota.TokenOffer;
import org.quetzalshunt.core.quota.TokenSearch;

/**
 * Asks the VMs that hold shares of an account's quota to start a program. Each holder is first asked whether the
 * program may start now. If none admits it, the holder with the earliest time is asked to keep the tokens of the program
 * until then, so that only one holder keeps them. If a holder knows that the program is running, the request needs a
 * single token only.
 *
 * <p>Unlike a {@link TokenSearch}, it never takes a token that has yet to be earned, also from a holder that decides on
 * single tokens only.
 */
public final class StartSearch {
    private final List<String> holders;
    private final long maximumReturnMillis;
    private final TokenSearch.TokenRequester requester;
    private final Consumer<TokenSearch.Result> listener;
    private final Runnable runningListener;
    private int bestIndex = -1;
    private boolean bestDecidesStart;
    private long shortestWaitMillis = TokenOffer.NEVER;

    private StartSearch(
            List<String> holders,
            long maximumReturnMillis,
            TokenSearch.TokenRequester requester,
            Consumer<TokenSearch.Result> listener,
            Runnable runningListener) {
        this.holders = holders;
        this.maximumReturnMillis = maximumReturnMillis;
        this.requester = requester;
        this.listener = listener;
        this.runningListener = runningListener;
    }

    /**
     * Starts a search.
     *
     * @param holders VMs to ask, in descending order of their shares
     * @param maximumReturnMillis longest time after which the caller can return and its program still be of use
     * @param listener receives the result, exactly once unless the program is running
     * @param runningListener called instead if the program is running
     */
    public static void start(
            List<String> holders,
            long maximumReturnMillis,
            TokenSearch.TokenRequester requester,
            Consumer<TokenSearch.Result> listener,
            Runnable runningListener) {
        new StartSearch(holders, maximumReturnMillis, requester, listener, runningListener).ask(0);
    }

    private void ask(int index) {
        if (index == holders.size()) {
            askForPromise();
            return;
        }
        requester.request(holders.get(index), 0, offer -> {
            if (offer.taken()) {
                listener.accept(new TokenSearch.Result.Granted(offer.waitMillis()));
                return;
            }
            if (offer.equals(TokenOffer.RUNNING)) {
                runningListener.run();
                return;
            }
            if (offer.waitMillis() < shortestWaitMillis) {
                shortestWaitMillis = offer.waitMillis();
                bestIndex = index;
                bestDecidesStart = offer.decidesStart();
            }
            ask(index + 1);
        });
    }

    private void askForPromise() {
        if (bestIndex < 0) {
            listener.accept(new TokenSearch.Result.NoHolder());
            return;
        }
        if (!bestDecidesStart || shortestWaitMillis > maximumReturnMillis) {
            listener.accept(new TokenSearch.Result.OverQuota(shortestWaitMillis));
            return;
        }
        requester.request(holders.get(bestIndex), maximumReturnMillis, offer -> {
            if (offer.equals(TokenOffer.RUNNING)) {
                runningListener.run();
                return;
            }
            listener.accept(result(offer));
        });
    }

    private TokenSearch.Result result(TokenOffer offer) {
        if (offer.taken()) {
            return new TokenSearch.Result.Granted(offer.waitMillis());
        }
        // Without an answer to the second request, the first answer still holds.
        boolean answered = offer.waitMillis() != TokenOffer.NEVER;
        return new TokenSearch.Result.OverQuota(answered ? offer.waitMillis() : shortestWaitMillis);
    }
}
