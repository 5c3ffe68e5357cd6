package org.quetzalshunt.app.bench.play;

import static com.google.common.truth.Truth.assertWithMessage;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalshunt.core.decision.Policy;

/** What callers get in each play, beside the same arrivals under the plain baselines. */
final class PlaysTest {
    private static final List<Long> SEEDS = List.of(1L, 2L);
    private static final String OURS = Policy.standard().name();

    /** What a play must show; the story of each is told where it is listed. */
    @FunctionalInterface
    private interface Promise {
        void check(PlayTable table);
    }

    static Stream<Arguments> plays() {
        return Stream.of(
                // A lesson begins and every class asks at once for twenty seconds. Nobody is turned away, and the
                // queue is gone again without prompts being computed anew on whichever engine was free.
                Arguments.of(Plays.burst(), promises(fasterThan("round-robin", 0.8), nobodyRefused())),
                // Two large tenants send four fifths of everything. The small ones are served in full.
                Arguments.of(
                        Plays.fewAccounts(),
                        promises(fasterThan("round-robin", 0.8), nobodyRefused(), shareAtLeast(0.95))),
                // One tenant's script sends ten times its rate. The others' programs must not wait behind its queue;
                // without fair shares they took as long as the flood's own.
                Arguments.of(
                        Plays.flood(), promises(nobodyRefused(), shareAtLeast(0.93), quietFasterThan("affinity-only"))),
                // An engine's card overheats and computes at a fifth. A program that stays with its cache there takes
                // minutes; it must move, and new ones must go elsewhere.
                Arguments.of(Plays.slowEndpoint(), promises(fasterThan("affinity-only", 0.5), nobodyRefused())),
                // An engine dies with all it runs, the platform's list names it for ten more seconds, and it returns
                // cold and slow. Callers see no error that they must act on, and nobody crawls behind its return.
                Arguments.of(Plays.lostEndpoint(), promises(fasterThan("affinity-only", 0.9), nobodyRefused())),
                // Planning programs of many long turns run among quick questions. The questions must not wait for
                // them, although nobody knows ahead which is which.
                Arguments.of(Plays.longAmongShort(), promises(fasterThan("round-robin", 0.6), nobodyRefused())),
                // The live histories outgrow the caches, so what was cached a minute ago may be gone. Believing it to
                // be there makes programs wait for nothing.
                Arguments.of(Plays.cacheThrash(), promises(fasterThan("affinity-only", 1), nobodyRefused())),
                // Sixteen entries read the same reports, up to three seconds old. If all pick the engine that looked
                // free, it drowns until the next report.
                Arguments.of(Plays.laggingReports(), promises(fasterThan("least-loaded", 0.6), nobodyRefused())),
                // Twice the capacity comes in for long. What is started must be finished: programs that fail halfway
                // waste what they took, and prompts computed again take what was short.
                Arguments.of(Plays.saturation(), promises(goodputAtLeast(0.92), fasterThan("affinity-only", 0.9))),
                // Tools take from a second to ten minutes. Programs that come back find their cache where it was held.
                Arguments.of(Plays.toolPauses(), promises(fasterThan("round-robin", 0.9), nobodyRefused())));
    }

    @ParameterizedTest
    @MethodSource("plays")
    void callersGetWhatThePlayPromises(Play play, List<Promise> promises) {
        PlayTable table = PlayTable.measure(play, PlayTable.policies(), SEEDS);

        for (Promise promise : promises) {
            promise.check(table);
        }
        double again = table.ratio(OURS, "least-loaded", Measures::recomputedTokens);
        if (!play.equals(Plays.cacheThrash())) {
            assertWithMessage(play.name() + ": tokens computed again beside least loaded")
                    .that(again)
                    .isAtMost(0.35);
        }
    }

    private static List<Promise> promises(Promise... promises) {
        return List.of(promises);
    }

    private static Promise fasterThan(String policy, double ratio) {
        return table -> assertWithMessage(table.play().name() + ": program p95 beside " + policy)
                .that(table.ratio(OURS, policy, Measures::p95Millis))
                .isAtMost(ratio);
    }

    private static Promise quietFasterThan(String policy) {
        return table -> assertWithMessage(table.play().name() + ": quiet accounts' p95 beside " + policy)
                .that(table.ratio(OURS, policy, Measures::withinRateP95Millis))
                .isAtMost(0.5);
    }

    private static Promise nobodyRefused() {
        return table -> assertWithMessage(table.play().name() + ": refusals within rate")
                .that(table.spread(OURS, Measures::refusalsWithinRate).getMax())
                .isEqualTo(0.0);
    }

    private static Promise shareAtLeast(double share) {
        return table -> assertWithMessage(table.play().name() + ": worst share of entitlement")
                .that(table.spread(OURS, Measures::worstShare).getMin())
                .isAtLeast(share);
    }

    private static Promise goodputAtLeast(double part) {
        return table -> assertWithMessage(table.play().name() + ": goodput")
                .that(table.spread(OURS, Measures::goodput).getMin())
                .isAtLeast(part);
    }
}
