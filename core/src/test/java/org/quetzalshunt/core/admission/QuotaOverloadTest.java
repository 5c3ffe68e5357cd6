package org.quetzalshunt.core.admission;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.Map;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.quota.TokenBucket;

/**
 * Accounts with a quota of 1.6 times their usual rate send programs of nine and sixteen requests, as many of each, at a
 * multiple of that rate. Compares the share of programs that end in time with single tokens for first turns, with the
 * second bucket, and with counted tokens of running programs.
 */
final class QuotaOverloadTest {
    private static final Map<String, Double> SIZES = Map.of("nine", 9.0, "sixteen", 16.0);
    private static final int SEEDS = 8;
    private static final long SIMULATED_MILLIS = 40_000;

    private record Shares(double first, double second) {
        double mean() {
            return (first + second) / 2;
        }
    }

    private static QuotaSimulation.Owner admission(TokenBucket share) {
        return new AccountAdmission(QuotaSimulation.START_MILLIS, share)::reserve;
    }

    private static QuotaSimulation.Owner singleTokens(TokenBucket share) {
        return (now, request, wait) -> share.reserve(now, wait);
    }

    private static Shares simulate(
            QuotaSimulation.Kind first,
            QuotaSimulation.Kind second,
            double rate,
            boolean startSearch,
            Function<TokenBucket, QuotaSimulation.Owner> owner,
            double... parts) {
        Shares shares = new Shares(0, 0);
        for (long seed = 1; seed <= SEEDS; seed++) {
            QuotaSimulation simulation = new QuotaSimulation(rate, startSearch, seed, owner, parts);
            QuotaSimulation.Count one = simulation.arrivals(first, SIMULATED_MILLIS);
            QuotaSimulation.Count other = simulation.arrivals(second, SIMULATED_MILLIS);
            simulation.run();
            shares = new Shares(shares.first + one.inTimeShare() / SEEDS, shares.second + other.inTimeShare() / SEEDS);
        }
        return shares;
    }

    private static Shares nineAndSixteen(
            double usual, double load, boolean startSearch, Function<TokenBucket, QuotaSimulation.Owner> owner) {
        double programsPerSecond = usual * load / (9 + 16);
        return simulate(
                new QuotaSimulation.Kind("nine", 9, 0, programsPerSecond),
                new QuotaSimulation.Kind("sixteen", 16, 0, programsPerSecond),
                usual * 1.6,
                startSearch,
                owner,
                2 / 3.0,
                1 / 3.0);
    }

    /** Guards against an account beyond its quota whose programs all start, and then all wait for tokens. */
    @ParameterizedTest
    @CsvSource({"5, 5", "20, 5", "80, 5", "5, 2.5", "20, 2.5", "80, 2.5"})
    void moreProgramsEndInTimeThanWithSingleTokensOrCountedOnes(double usual, double load) {
        Shares on = nineAndSixteen(usual, load, true, QuotaOverloadTest::admission);
        Shares off = nineAndSixteen(usual, load, false, QuotaOverloadTest::singleTokens);
        assertWithMessage("off: " + off).that(on.mean()).isAtLeast(1.1 * off.mean());
        for (double horizonMillis : new double[] {500, 1_500}) {
            Shares counted =
                    nineAndSixteen(usual, load, true, share -> new CountedAdmission(share, horizonMillis, SIZES));
            assertWithMessage("counted: " + counted).that(on.mean()).isAtLeast(counted.mean() - 0.01);
        }
        assertWithMessage("long programs: " + on).that(on.second()).isAtLeast(0.5 * on.mean());
    }

    /** Guards against programs that are refused although their account is within its quota. */
    @ParameterizedTest
    @CsvSource({"5, 1", "20, 0.5", "20, 1", "80, 1"})
    void accountWithinItsQuotaLosesNothing(double usual, double load) {
        Shares on = nineAndSixteen(usual, load, true, QuotaOverloadTest::admission);
        Shares off = nineAndSixteen(usual, load, false, QuotaOverloadTest::singleTokens);
        assertWithMessage("off: " + off).that(on.mean()).isAtLeast(off.mean() - 0.01);
    }

    /** Guards against less urgent programs that take the tokens of more urgent ones, at equal load of both. */
    @Test
    void urgentProgramsEndInTimeBeforeOthers() {
        for (double load : new double[] {1, 2, 5}) {
            Shares shares = simulate(
                    new QuotaSimulation.Kind("urgent", 9, 0, 20 * load / 18),
                    new QuotaSimulation.Kind("other", 9, 2, 20 * load / 18),
                    32,
                    true,
                    QuotaOverloadTest::admission,
                    2 / 3.0,
                    1 / 3.0);
            assertThat(shares.first()).isAtLeast(shares.second() - 0.05);
        }
    }

    /**
     * A gateway that is alone holds the whole quota, and an owner whose peer is lost holds its part. Guards against
     * starts that depend on the other owner.
     */
    @ParameterizedTest
    @ValueSource(doubles = {1, 2 / 3.0, 1 / 3.0})
    void oneOwnerAloneAdmitsPrograms(double part) {
        QuotaSimulation.Kind kind = new QuotaSimulation.Kind("nine", 9, 0, 5.0);
        Shares on = simulate(kind, kind, 32, true, QuotaOverloadTest::admission, part);
        Shares off = simulate(kind, kind, 32, false, QuotaOverloadTest::singleTokens, part);
        assertWithMessage("off: " + off).that(on.mean()).isAtLeast(1.1 * off.mean());
    }
}
