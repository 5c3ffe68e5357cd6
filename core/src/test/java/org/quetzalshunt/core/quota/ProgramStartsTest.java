package org.quetzalshunt.core.quota;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.PriorityQueue;
import java.util.Random;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Simulates an account beyond its quota, whose tokens go either to running programs or to the start of new ones. */
final class ProgramStartsTest {
    private static final long CALLER_MILLIS = 3_000;
    private static final long TURN_MILLIS = 126;
    private static final long TOOL_MILLIS = 120;
    private static final long THINK_MILLIS = 100;
    private static final int TURNS = 6;
    private static final int TOOLS = 2;
    private static final int TOKENS = TURNS + (TURNS - 1) * TOOLS;
    private static final long IDLE_MILLIS = TURNS * TURN_MILLIS + (TURNS - 1) * (TOOL_MILLIS + THINK_MILLIS);
    private static final long OBJECTIVE_MILLIS = IDLE_MILLIS * 3 / 2 + 200;
    private static final long SIMULATED_MILLIS = 40_000;
    private static final int TRIES = 6;

    /** Decides how long a request may wait for a token, in milliseconds. */
    private interface WaitRule {
        long maximumWaitMillis(boolean beginsProgram);
    }

    private static long noWaitForStarts(boolean beginsProgram) {
        return beginsProgram ? QuotaWaitPolicy.START_WAIT_MILLIS : waitForStarts(false);
    }

    private static long waitForStarts(boolean beginsProgram) {
        return QuotaWaitPolicy.maximumWaitMillis(beginsProgram, false, CALLER_MILLIS);
    }

    private record Event(long millis, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return millis != other.millis ? Long.compare(millis, other.millis) : Long.compare(order, other.order);
        }
    }

    /** Simulates programs of one account that arrive at random and execute turn by turn. */
    private static final class Simulation {
        private final PriorityQueue<Event> events = new PriorityQueue<>();
        private final TokenBucket bucket = TokenBucket.create(0);
        private final Random random;
        private final WaitRule rule;
        private long now;
        private long order;
        private int started;
        private int inTime;
        private int served;

        Simulation(double rate, double load, WaitRule rule, long seed) {
            this.random = new Random(seed);
            this.rule = rule;
            bucket.setLimits(0, rate, rate);
            double meanMillis = 1_000 * TOKENS / (rate * load);
            for (double at = 0; at < SIMULATED_MILLIS; at -= meanMillis * Math.log(1 - random.nextDouble())) {
                long arrival = (long) at;
                at(arrival, () -> turn(arrival, 0, 0));
                started++;
            }
            while (!events.isEmpty()) {
                Event event = events.poll();
                now = event.millis();
                event.action().run();
            }
        }

        private void at(long millis, Runnable action) {
            events.add(new Event(millis, order++, action));
        }

        private void turn(long arrival, int turn, int tries) {
            TokenOffer offer = bucket.reserve(now, rule.maximumWaitMillis(turn == 0));
            if (!offer.taken()) {
                if (tries < TRIES) {
                    long pause = tries % 2 == 0 ? 400 + random.nextInt(600) : 100 + random.nextInt(300);
                    at(now + pause, () -> turn(arrival, turn, tries + 1));
                }
                return;
            }
            long ends = now + offer.waitMillis() + TURN_MILLIS;
            if (turn == TURNS - 1) {
                served++;
                inTime += ends - arrival <= OBJECTIVE_MILLIS ? 1 : 0;
                return;
            }
            at(ends, () -> tools(arrival, turn));
        }

        private void tools(long arrival, int turn) {
            long longest = 0;
            for (int tool = 0; tool < TOOLS; tool++) {
                TokenOffer offer = bucket.reserve(now, rule.maximumWaitMillis(false));
                if (!offer.taken()) {
                    return;
                }
                longest = Math.max(longest, offer.waitMillis());
            }
            at(now + longest + TOOL_MILLIS + THINK_MILLIS, () -> turn(arrival, turn + 1, 0));
        }
    }

    private static double inTime(double rate, double load, WaitRule rule) {
        double share = 0;
        for (long seed = 1; seed <= 5; seed++) {
            Simulation simulation = new Simulation(rate, load, rule, seed);
            share += (double) simulation.inTime / simulation.started / 5;
        }
        return share;
    }

    private static double served(double rate, double load, WaitRule rule) {
        double share = 0;
        for (long seed = 1; seed <= 5; seed++) {
            Simulation simulation = new Simulation(rate, load, rule, seed);
            share += (double) simulation.served / simulation.started / 5;
        }
        return share;
    }

    /** Guards against an account beyond its quota that spends all its tokens on programs that finish late. */
    @ParameterizedTest
    @CsvSource({"20, 1.3", "20, 2.5", "60, 1.3", "60, 2.5", "200, 1.3", "200, 4"})
    void moreProgramsFinishInTimeWhereStartsDoNotWait(double rate, double load) {
        double withWait = inTime(rate, load, ProgramStartsTest::waitForStarts);
        double withoutWait = inTime(rate, load, ProgramStartsTest::noWaitForStarts);
        assertWithMessage("in time, waiting " + withWait).that(withoutWait).isAtLeast(1.1 * withWait);
    }

    /** Guards against programs that are rejected although their account is within its quota. */
    @ParameterizedTest
    @CsvSource({"20, 0.6", "60, 0.8", "200, 0.9"})
    void accountWithinItsQuotaLosesNothing(double rate, double load) {
        assertThat(served(rate, load, ProgramStartsTest::noWaitForStarts))
                .isAtLeast(served(rate, load, ProgramStartsTest::waitForStarts) - 0.02);
    }
}
