package org.quetzalshunt.app.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Scheduled arrival of a program.
 *
 * @param dueMicros scheduled time in microseconds after the start of the run
 */
record Arrival(long dueMicros, String account, ProgramPlan plan) {
    private static final double MICROS_PER_SECOND = 1_000_000.0;

    /**
     * Draws a Poisson process for each account. All accounts have the same rate except the heavy account, whose rate is
     * {@code heavyFactor} times as high. The rates add up to {@code programsPerSecond}.
     */
    static List<Arrival> draw(LoadPlan plan) {
        double shares = plan.accounts().size() - 1 + plan.heavyFactor();
        List<Arrival> arrivals = new ArrayList<>();
        SplittableRandom random = new SplittableRandom(plan.seed());
        for (String account : plan.accounts()) {
            double share = account.equals(plan.heavyAccount()) ? plan.heavyFactor() : 1;
            draw(plan, account, plan.programsPerSecond() * share / shares, random.split(), arrivals);
        }
        arrivals.sort((one, other) -> Long.compare(one.dueMicros(), other.dueMicros()));
        return arrivals.subList(0, Math.min(arrivals.size(), plan.maximumPrograms()));
    }

    private static void draw(
            LoadPlan plan, String account, double perSecond, SplittableRandom random, List<Arrival> arrivals) {
        double endMicros = plan.seconds() * MICROS_PER_SECOND;
        double due = gapMicros(perSecond, random);
        while (due < endMicros) {
            arrivals.add(new Arrival((long) due, account, ProgramPlan.draw(plan.shape(), random)));
            due += gapMicros(perSecond, random);
        }
    }

    private static double gapMicros(double perSecond, SplittableRandom random) {
        return -Math.log(1 - random.nextDouble()) / perSecond * MICROS_PER_SECOND;
    }
}
