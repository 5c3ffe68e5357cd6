package org.quetzalshunt.app.bench.play;

import java.util.DoubleSummaryStatistics;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.quetzalshunt.core.decision.Policy;

/** Measures of one play, by policy, over several seeds. */
public final class PlayTable {
    private final Play play;
    private final Map<String, List<Measures>> runs = new LinkedHashMap<>();

    private PlayTable(Play play) {
        this.play = play;
    }

    /** Our policy and the plain baselines. */
    public static List<Policy> policies() {
        return List.of(Policy.standard(), Policy.roundRobin(), Policy.leastLoaded(), Policy.affinityOnly());
    }

    /** Runs a play under each policy with each seed; a seed brings the same arrivals to all policies. */
    public static PlayTable measure(Play play, List<Policy> policies, List<Long> seeds) {
        PlayTable table = new PlayTable(play);
        List<List<Measures>> measured = policies.parallelStream()
                .map(policy -> seeds.parallelStream()
                        .map(seed -> PlayRun.run(play, policy, seed))
                        .toList())
                .toList();
        for (int number = 0; number < policies.size(); number++) {
            table.runs.put(policies.get(number).name(), measured.get(number));
        }
        return table;
    }

    /** The play. */
    public Play play() {
        return play;
    }

    /** Names of the policies, in the order in which they ran. */
    public List<String> names() {
        return List.copyOf(runs.keySet());
    }

    /** Mean, least and most of a measure over the seeds. */
    public DoubleSummaryStatistics spread(String policy, ToDoubleFunction<Measures> measure) {
        return runs.get(policy).stream().mapToDouble(measure).summaryStatistics();
    }

    /** Mean of a measure over the seeds. */
    public double mean(String policy, ToDoubleFunction<Measures> measure) {
        return spread(policy, measure).getAverage();
    }

    /** Mean of a measure under one policy divided by the mean under another. */
    public double ratio(String policy, String other, ToDoubleFunction<Measures> measure) {
        return mean(policy, measure) / mean(other, measure);
    }
}
