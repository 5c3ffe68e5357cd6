package org.quetzalshunt.core.admission;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.quota.TokenBucket;
import org.quetzalshunt.core.quota.TokenOffer;
import org.quetzalshunt.core.quota.TokenSearch;

final class AccountAdmissionTest {
    private static final long FULL_MILLIS = 10_000;

    private final TokenBucket share = TokenBucket.create(0);
    private AccountAdmission admission = fullShare(20);

    private AccountAdmission fullShare(double rate) {
        share.setLimits(0, rate, rate);
        return new AccountAdmission(FULL_MILLIS, share);
    }

    private TokenOffer start(long now, String program, int urgency, long maximumReturn) {
        ProgramRequest request = new ProgramRequest(Optional.of(program), Optional.of("kind"), urgency);
        return admission.reserve(now, request, maximumReturn);
    }

    private boolean starts(long now, String program) {
        return start(now, program, 0, 0).taken();
    }

    private void requests(long now, String program, int count) {
        ProgramRequest request = new ProgramRequest(Optional.of(program), Optional.empty(), 0);
        for (int each = 0; each < count; each++) {
            admission.reserve(now, request, 10_000);
        }
    }

    private double startTokens(long now) {
        return admission.status(now).startTokens();
    }

    /** Guards against a mean of the whole kind that follows one program that loops. */
    @Test
    void loopingProgramRaisesTheMeanByLittle() {
        admission = fullShare(100_000);
        long now = FULL_MILLIS;
        for (int program = 0; program < 100; program++) {
            starts(now, "p" + program);
            requests(now, "p" + program, program == 50 ? 5_000 : 8);
            now += 4_000;
        }
        assertThat(admission.status(now).tokensPerProgram().get("kind"))
                .isWithin(1.0)
                .of(9);
    }

    /** Guards against starts on tokens that programs started at the other owner, or before a restart, are using. */
    @Test
    void requestsOfUnknownProgramsCount() {
        requests(FULL_MILLIS, "elsewhere", 15);
        assertThat(startTokens(FULL_MILLIS)).isWithin(0.01).of(5);
        assertThat(starts(FULL_MILLIS, "p")).isFalse();
    }

    /**
     * Guards against a program that pays twice, or is refused while it runs: its first turn failed and is sent again, or
     * a later turn is taken for a first one by a gateway that does not know the earlier ones.
     */
    @Test
    void runningProgramIsNotStartedAgain() {
        assertThat(starts(FULL_MILLIS, "p")).isTrue();
        assertThat(starts(FULL_MILLIS, "p")).isTrue();
        assertThat(startTokens(FULL_MILLIS)).isWithin(0.01).of(20 - ProgramSizes.ASSUMED_TOKENS);
        requests(FULL_MILLIS, "elsewhere", 18);
        assertThat(start(FULL_MILLIS, "p", 0, 0)).isEqualTo(TokenOffer.RUNNING);
        assertThat(start(FULL_MILLIS, "elsewhere", 0, 300)).isEqualTo(TokenOffer.RUNNING);
    }

    /** Guards against tokens that stay taken at an owner whose answer came too late, after another owner's grant. */
    @Test
    void cancelledStartReturnsItsTokens() {
        starts(FULL_MILLIS, "p");
        admission.cancelStart(FULL_MILLIS, "p");
        admission.cancelStart(FULL_MILLIS, "p");
        assertThat(startTokens(FULL_MILLIS)).isWithin(0.01).of(20);
        assertThat(share.tokens(FULL_MILLIS)).isWithin(0.01).of(20);
    }

    /** Guards against a start that takes its program's tokens although the account has no token for its first turn. */
    @Test
    void startTakesNothingWithoutATokenOfTheShare() {
        for (int program = 0; program < 20; program++) {
            share.take(FULL_MILLIS);
        }
        assertThat(start(FULL_MILLIS, "p", 0, 0)).isEqualTo(TokenOffer.startAfter(50));
        assertThat(startTokens(FULL_MILLIS)).isWithin(0.01).of(20);
    }

    /** Guards against new programs that take the tokens of those that were told when to return. */
    @Test
    void returningProgramGoesBeforeNewOnesUntilItsTimeIsPast() {
        starts(FULL_MILLIS, "a");
        starts(FULL_MILLIS, "b");
        long first = start(FULL_MILLIS, "first", 0, 1_000).waitMillis();
        long second = start(FULL_MILLIS, "second", 0, 1_000).waitMillis();
        assertThat(List.of(first, second)).containsExactly(200L, 600L).inOrder();

        assertThat(starts(FULL_MILLIS + first, "new")).isFalse();
        assertThat(starts(FULL_MILLIS + first, "second")).isFalse();
        assertThat(starts(FULL_MILLIS + first, "first")).isTrue();
        assertThat(starts(FULL_MILLIS + second, "new")).isFalse();
        assertThat(starts(FULL_MILLIS + second + PromisedStarts.GRACE_MILLIS + 1, "new"))
                .isTrue();
    }

    /** Guards against less urgent programs that use up what the next urgent ones need. */
    @Test
    void lessUrgentStartLeavesWhatUrgentOnesTookRecently() {
        starts(FULL_MILLIS, "urgent");
        assertThat(start(FULL_MILLIS, "other", 1, 0).taken()).isFalse();
        assertThat(start(FULL_MILLIS, "urgent-2", 0, 0).taken()).isTrue();
    }

    /** Guards against running programs that stop, or starts that go on, after the quota is lowered below its use. */
    @Test
    void lowerQuotaStopsStartsAndNotRunningPrograms() {
        starts(FULL_MILLIS, "running");
        share.setLimits(FULL_MILLIS, 2, 2);
        assertThat(starts(FULL_MILLIS, "p")).isTrue();
        assertThat(starts(FULL_MILLIS + 1_000, "q")).isFalse();
        requests(FULL_MILLIS + 1_000, "running", 1);
        assertThat(share.tokens(FULL_MILLIS + 1_000)).isLessThan(2.0);
        assertThat(starts(FULL_MILLIS + 4_000, "q")).isTrue();
    }

    /**
     * Guards against a new owner that refuses all programs until it has earned the tokens of a whole one, and against one
     * that starts a program without the token of its first turn.
     */
    @Test
    void newOwnerStartsProgramsWithItsFirstTokens() {
        ProgramAdmissions programs = ProgramAdmissions.create(new SilentListener());
        ProgramRequest start = new ProgramRequest(Optional.of("p"), Optional.of("kind"), 0);
        assertThat(programs.reserve(FULL_MILLIS, "account", share, start, 0).taken())
                .isTrue();
        TokenBucket acquired = TokenBucket.create(FULL_MILLIS);
        acquired.setLimits(FULL_MILLIS, 20, 20);
        assertThat(programs.reserve(FULL_MILLIS, "account", acquired, start, 0)).isEqualTo(TokenOffer.startAfter(50));
        assertThat(programs.reserve(FULL_MILLIS + 50, "account", acquired, start, 0)
                        .taken())
                .isTrue();
    }

    private static final class SilentListener implements ProgramAdmissions.Listener {
        @Override
        public void onRefusing(String account, AdmissionStatus status) {}

        @Override
        public void onKind(String kind, java.util.function.Supplier<Number> tokensPerProgram) {}
    }

    /** Guards against a start at a second owner of a program that runs at the first one, which has no token left. */
    @Test
    void ownerThatKnowsTheProgramEndsTheSearch() {
        List<String> asked = new ArrayList<>();
        StartSearch.start(
                List.of("first", "second"),
                300,
                (holder, wait, answer) -> {
                    asked.add(holder);
                    answer.accept(TokenOffer.RUNNING);
                },
                result -> asked.add("result"),
                () -> asked.add("running"));
        assertThat(asked).containsExactly("first", "running").inOrder();
    }

    /**
     * Guards against tokens that are kept at both owners for one program, against a wait for a token at an owner of a
     * former release, and against starts that fail while one owner is lost.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void onlyTheEarliestOwnerKeepsTokens(boolean firstIsLost) {
        List<TokenSearch.Result> results = new ArrayList<>();
        List<String> asked = new ArrayList<>();
        Map<String, TokenOffer> offers = Map.of(
                "first", firstIsLost ? TokenOffer.NONE : TokenOffer.startAfter(500),
                "second", TokenOffer.startAfter(200),
                "former", TokenOffer.unavailableFor(300));
        StartSearch.start(
                List.of("first", "second", "former"),
                300,
                (holder, wait, answer) -> {
                    asked.add(holder + wait);
                    answer.accept(offers.get(holder));
                },
                results::add,
                () -> asked.add("running"));
        assertThat(asked).containsExactly("first0", "second0", "former0", "second300");
        assertThat(results).containsExactly(new TokenSearch.Result.OverQuota(200));
    }
}
