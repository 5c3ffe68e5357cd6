package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.quetzalshunt.core.admission.ProgramRequest;
import org.quetzalshunt.core.quota.TokenOffer;
import org.quetzalshunt.wire.generated.Message;
import org.quetzalshunt.wire.generated.TokenAnswer;
import org.quetzalshunt.wire.generated.TokenRequest;

/**
 * Requests and grants of single tokens, and of the tokens of whole programs, in messages between gateways.
 *
 * <p>A request without a timely answer counts as refused, and the token is taken elsewhere. If the answer still
 * arrives and started a program, the start is cancelled, so that two owners don't both keep the tokens of one program.
 * The cancellation is a request that starts a program of the empty kind.
 */
final class TokenExchange {
    /**
     * Timeout of a token request: ten round trips between data centres. An owner that takes longer is overloaded or
     * unreachable.
     */
    private static final long TOKEN_TIMEOUT_MILLIS = 25;

    /** Time for which a late answer is expected. */
    private static final long LATE_ANSWER_MILLIS = 2_000;

    /** Wait time on the wire when no token is granted. A negative shortest wait means that none becomes available. */
    private static final long NO_TOKEN = -1;

    /** Longest wait that is taken from a peer's answer. */
    private static final long MAXIMUM_WAIT_MILLIS = 60_000;

    private static final String CANCELLED_KIND = "";

    /** Takes tokens from this VM's shares, for peers. */
    interface Owner {
        /** Takes a token, or the tokens of a program. */
        TokenOffer reserveLocally(String account, ProgramRequest request, long maximumWaitMillis);

        /** Returns the tokens of a program that is not started here. */
        void cancelStart(String account, String program);
    }

    private record LateRequest(String account, ProgramRequest request) {}

    private final EventExecutor executor;
    private final Owner owner;
    private final Map<Long, Consumer<TokenOffer>> pending = new HashMap<>();
    private final Map<Long, LateRequest> late = new HashMap<>();
    private long nextId;

    /** Creates an exchange without pending requests. */
    TokenExchange(EventExecutor executor, Owner owner) {
        this.executor = executor;
        this.owner = owner;
    }

    /** Requests a token from a peer over its link. A missing answer counts as no token. */
    void request(
            Consumer<Message> link,
            String account,
            ProgramRequest request,
            long maximumWaitMillis,
            Consumer<TokenOffer> listener) {
        long id = nextId++;
        pending.put(id, listener);
        link.accept(Message.tokenRequest(toMessage(id, account, request, maximumWaitMillis)));
        executor.schedule(() -> onTimeout(id, account, request), TOKEN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private static TokenRequest toMessage(long id, String account, ProgramRequest request, long maximumWaitMillis) {
        TokenRequest message = new TokenRequest(id, account, maximumWaitMillis);
        request.program().ifPresent(message::setProgram);
        if (request.startsProgram()) {
            message.setStartedKind(request.startedKind().get()).setUrgency(request.urgency());
        }
        return message;
    }

    private void onTimeout(long id, String account, ProgramRequest request) {
        Consumer<TokenOffer> listener = pending.remove(id);
        if (listener == null) {
            return;
        }
        if (request.startsProgram()) {
            late.put(id, new LateRequest(account, request));
            executor.schedule(() -> late.remove(id), LATE_ANSWER_MILLIS, TimeUnit.MILLISECONDS);
        }
        listener.accept(TokenOffer.NONE);
    }

    /** Handles an answer that arrived over a link. */
    void onAnswer(Consumer<Message> link, TokenAnswer answer) {
        Consumer<TokenOffer> listener = pending.remove(answer.getId());
        if (listener != null) {
            listener.accept(toOffer(answer));
            return;
        }
        LateRequest request = late.remove(answer.getId());
        boolean started = answer.getWaitMillis() >= 0 && answer.isSetStartAfterMillis();
        if (request != null && started) {
            ProgramRequest cancellation =
                    new ProgramRequest(request.request().program(), Optional.of(CANCELLED_KIND), 0);
            link.accept(Message.tokenRequest(toMessage(nextId++, request.account(), cancellation, 0)));
        }
    }

    private static TokenOffer toOffer(TokenAnswer answer) {
        if (answer.getWaitMillis() >= 0) {
            return answer.isSetStartAfterMillis() ? TokenOffer.started() : TokenOffer.taken(answer.getWaitMillis());
        }
        if (answer.isSetStartAfterMillis() && answer.getStartAfterMillis() >= 0) {
            // A time of 0 without a token means that the program is running, see TokenOffer.RUNNING.
            return TokenOffer.startAfter(Math.min(MAXIMUM_WAIT_MILLIS, answer.getStartAfterMillis()));
        }
        boolean availableLater = answer.isSetShortestMillis() && answer.getShortestMillis() >= 0;
        return availableLater ? TokenOffer.unavailableFor(answer.getShortestMillis()) : TokenOffer.NONE;
    }

    /** Answers a request over the link on which it arrived. */
    void onRequest(Consumer<Message> link, TokenRequest message) {
        if (message.getAccount() == null) {
            return;
        }
        ProgramRequest request = new ProgramRequest(
                Optional.ofNullable(message.getProgram()),
                Optional.ofNullable(message.getStartedKind()),
                message.getUrgency());
        if (request.startedKind().filter(CANCELLED_KIND::equals).isPresent()) {
            request.program().ifPresent(program -> owner.cancelStart(message.getAccount(), program));
            return;
        }
        TokenOffer offer = owner.reserveLocally(message.getAccount(), request, message.getMostWaitMillis());
        link.accept(Message.tokenAnswer(toAnswer(message.getId(), offer)));
    }

    private static TokenAnswer toAnswer(long id, TokenOffer offer) {
        TokenAnswer answer = new TokenAnswer(id, offer.taken() ? offer.waitMillis() : NO_TOKEN);
        if (!offer.taken() && offer.waitMillis() != TokenOffer.NEVER) {
            answer.setShortestMillis(offer.waitMillis());
        }
        if (offer.decidesStart() && offer.waitMillis() != TokenOffer.NEVER) {
            answer.setStartAfterMillis(offer.waitMillis());
        }
        return answer;
    }
}
