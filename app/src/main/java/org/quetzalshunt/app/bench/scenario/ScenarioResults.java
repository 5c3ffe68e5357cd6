package org.quetzalshunt.app.bench.scenario;

import java.util.DoubleSummaryStatistics;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.quetzalshunt.core.decision.Policy;

/** Results of one scenario by policy over several seeds. */
public final class ScenarioResults {
    private final Scenario scenario;
    private final Map<String, List<Measures>> runs = new LinkedHashMap<>();

    private ScenarioResults(Scenario scenario) {
        this.scenario = scenario;
    }

    /** The standard policy followed by the baseline policies. */
    public static List<Policy> policies() {
        return List.of(Policy.standard(), Policy.roundRobin(), Policy.leastLoaded(), Policy.affinityOnly());
    }

    /** Runs a scenario under each policy with each seed; a seed produces the same arrivals for all policies. */
    public static ScenarioResults measure(Scenario scenario, List<Policy> policies, List<Long> seeds) {
        ScenarioResults table = new ScenarioResults(scenario);
        List<List<Measures>> measured = policies.parallelStream()
                .map(policy -> seeds.parallelStream()
                        .map(seed -> ScenarioRun.run(scenario, policy, seed))
                        .toList())
                .toList();
        for (int index = 0; index < policies.size(); index++) {
            table.runs.put(policies.get(index).name(), measured.get(index));
        }
        return table;
    }

    public Scenario scenario() {
        return scenario;
    }

    /** Names of the policies, in the order in which they were given. */
    public List<String> policyNames() {
        return List.copyOf(runs.keySet());
    }

    /** Mean, minimum and maximum of a measure over the seeds. */
    public DoubleSummaryStatistics statistics(String policy, ToDoubleFunction<Measures> measure) {
        return runs.get(policy).stream().mapToDouble(measure).summaryStatistics();
    }

    /** Mean of a measure over the seeds. */
    public double mean(String policy, ToDoubleFunction<Measures> measure) {
        return statistics(policy, measure).getAverage();
    }

    /** Mean of a measure under one policy divided by its mean under a baseline. */
    public double ratio(String policy, String baseline, ToDoubleFunction<Measures> measure) {
        return mean(policy, measure) / mean(baseline, measure);
    }
}
