package org.quetzalshunt.app.bench.limits;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.BiFunction;

/**
 * One pattern of traffic of one account.
 *
 * @param name short name
 * @param load offered load as a share of the account's rate
 * @param entry which entry a request reaches: from its time and the number of entries
 * @param crashes whether the entry that decides most dies at a third of the play
 */
record LimitPlay(String name, double load, EntryChoice entry, boolean crashes) {
    /** Chooses the entry of a request. */
    interface EntryChoice {
        int choose(long millis, int entries, SplittableRandom random);
    }

    /** Patterns that the brief's callers make: a balancer that spreads, sticks, or moves, a greedy tenant, a crash. */
    static List<LimitPlay> all() {
        EntryChoice even = (millis, entries, random) -> random.nextInt(entries);
        EntryChoice one = (millis, entries, random) -> entries - 1;
        EntryChoice moving = (millis, entries, random) -> (int) (millis / 1_000 * 7 % entries);
        return List.of(
                new LimitPlay("even", 0.95, even, false),
                new LimitPlay("one entry", 0.95, one, false),
                new LimitPlay("moving", 0.95, moving, false),
                new LimitPlay("greedy", 3, even, false),
                new LimitPlay("crash", 0.95, even, true));
    }

    /** Builds a limiter. */
    interface LimiterFactory extends BiFunction<VirtualTime, Limiter.Shape, Limiter> {}

    /**
     * What a play showed.
     *
     * @param overshoot most tokens by which any window went over rate × t + burst
     * @param wronglyRefused share of requests refused although one bucket for the fleet would have had a token
     * @param admittedShare share of requests admitted
     * @param messagesPerSecond messages of all entries
     * @param bytesPerSecond octets of all entries
     */
    record Result(
            double overshoot,
            double wronglyRefused,
            double admittedShare,
            double messagesPerSecond,
            double bytesPerSecond) {}

    private static final int NOBODY = -1;
    private static final long START_MILLIS = 3_000;
    private static final long PLAY_MILLIS = 60_000;

    Result play(LimiterFactory factory, Limiter.Shape shape) {
        VirtualTime time = new VirtualTime();
        Limiter limiter = factory.apply(time, shape);
        SplittableRandom random = new SplittableRandom(shape.seed() + 1);
        time.run(START_MILLIS);
        Limiter.Cost before = limiter.cost();
        PlayMeter meter = new PlayMeter(time, shape);
        double interval = 1_000 / (shape.rate() * load);
        int[] dead = {NOBODY};
        for (double at = interval; at < PLAY_MILLIS; at += interval) {
            time.after((long) at, () -> {
                int chosen = entry.choose(time.now(), shape.entries(), random);
                int reached = chosen == dead[0] ? (chosen + 1) % shape.entries() : chosen;
                meter.request(answer -> limiter.request(reached, 0, answer));
            });
        }
        if (crashes) {
            time.after(PLAY_MILLIS / 3, () -> dead[0] = limiter.crash());
        }
        time.run(START_MILLIS + PLAY_MILLIS + 1_000);
        Limiter.Cost after = limiter.cost();
        double seconds = PLAY_MILLIS / 1_000.0;
        return new Result(
                meter.overshoot(),
                meter.wronglyRefused(),
                meter.admittedShare(),
                (after.messages() - before.messages()) / seconds,
                (after.bytes() - before.bytes()) / seconds);
    }
}
