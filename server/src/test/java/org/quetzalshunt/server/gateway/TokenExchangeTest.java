package org.quetzalshunt.server.gateway;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.embedded.EmbeddedChannel;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.quetzalshunt.core.admission.ProgramRequest;
import org.quetzalshunt.core.quota.TokenOffer;
import org.quetzalshunt.wire.generated.Message;
import org.quetzalshunt.wire.generated.TokenAnswer;
import org.quetzalshunt.wire.generated.TokenRequest;

final class TokenExchangeTest {
    private static final ProgramRequest START = new ProgramRequest(Optional.of("p"), Optional.of("kind"), 1);

    private final EmbeddedChannel channel = new EmbeddedChannel();
    private final List<Message> sent = new ArrayList<>();
    private final List<String> cancelled = new ArrayList<>();
    private final List<TokenOffer> offers = new ArrayList<>();
    private TokenOffer granted = TokenOffer.started();

    private final TokenExchange.Owner owner = new TokenExchange.Owner() {
        @Override
        public TokenOffer reserveLocally(String account, ProgramRequest request, long maximumWaitMillis) {
            return granted;
        }

        @Override
        public void cancelStart(String account, String program) {
            cancelled.add(account + ":" + program);
        }
    };
    private final TokenExchange exchange = new TokenExchange(channel.eventLoop(), owner);

    private TokenOffer answer(TokenAnswer answer) {
        exchange.request(sent::add, "account", START, 0, offers::add);
        exchange.onAnswer(
                sent::add,
                answer.setId(sent.get(sent.size() - 1).getTokenRequest().getId()));
        return offers.get(offers.size() - 1);
    }

    /** Guards against a program that pays at two owners since the first one's answer came after the time-out. */
    @Test
    void lateGrantOfAStartIsCancelledOnce() {
        exchange.request(sent::add, "account", START, 0, offers::add);
        TokenRequest request = sent.get(0).getTokenRequest();
        channel.freezeTime();
        channel.advanceTimeBy(30, TimeUnit.MILLISECONDS);
        channel.runScheduledPendingTasks();
        assertThat(offers).containsExactly(TokenOffer.NONE);

        exchange.onRequest(sent::add, request);
        TokenAnswer late = sent.get(1).getTokenAnswer();
        exchange.onAnswer(sent::add, late);
        exchange.onAnswer(sent::add, late);
        assertThat(sent).hasSize(3);
        exchange.onRequest(sent::add, sent.get(2).getTokenRequest());

        assertThat(cancelled).containsExactly("account:p");
        assertThat(sent).hasSize(3);
    }

    /** Guards against a repeated grant that is taken for the answer to a later request: two requests, one token. */
    @Test
    void repeatedAnswerIsNotTheAnswerToALaterRequest() {
        TokenAnswer granted = new TokenAnswer(0, 0);
        assertThat(answer(granted)).isEqualTo(TokenOffer.taken(0));

        exchange.request(sent::add, "account", ProgramRequest.NONE, 0, offers::add);
        exchange.onAnswer(sent::add, granted);

        assertThat(offers).containsExactly(TokenOffer.taken(0));
    }

    /** Guards against new fields in messages while the mechanism is off, and to requests of a former release. */
    @Test
    void withoutProgramsMessagesHaveNoNewFields() {
        exchange.request(sent::add, "account", ProgramRequest.NONE, 700, offers::add);
        assertThat(sent.get(0).getTokenRequest()).isEqualTo(new TokenRequest(0, "account", 700));
        granted = TokenOffer.unavailableFor(40);
        exchange.onRequest(sent::add, new TokenRequest(5, "account", 0));
        assertThat(sent.get(1).getTokenAnswer()).isEqualTo(new TokenAnswer(5, -1).setShortestMillis(40));
    }

    /** Guards against values of peers that would make callers wait for ever, and answers of a former release. */
    @Test
    void answersOfPeersAreBounded() {
        assertThat(answer(new TokenAnswer(0, 0).setStartAfterMillis(0))).isEqualTo(TokenOffer.started());
        assertThat(answer(new TokenAnswer(0, -1).setStartAfterMillis(0))).isEqualTo(TokenOffer.RUNNING);
        assertThat(answer(new TokenAnswer(0, 0))).isEqualTo(TokenOffer.taken(0));
        assertThat(answer(new TokenAnswer(0, -1).setStartAfterMillis(Long.MAX_VALUE)))
                .isEqualTo(TokenOffer.startAfter(60_000));
        assertThat(answer(new TokenAnswer(0, -1).setStartAfterMillis(-5))).isEqualTo(TokenOffer.NONE);
    }
}
