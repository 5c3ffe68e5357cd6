package org.quetzalshunt.app.bench.scenario;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Collects latencies, work and refusals during one run and computes its measures. */
final class Recorder {
    /** Fraction of the arrival period that is left out of goodput and shares, because queues are still filling. */
    private static final double WARM_UP_FRACTION = 0.4;

    /** Time within which an answer counts as served for an account whose demand is below its fair share. */
    private static final long SERVED_WITHIN_MILLIS = 60_000;

    private static final int SIGNIFICANT_DIGITS = 3;
    private static final double P95 = 95;

    private static final class AccountTotals {
        private final AccountLoad load;
        private final Histogram latency = new Histogram(SIGNIFICANT_DIGITS);
        private double demandedUnits;
        private double answeredUnits;
        private double servedUnits;

        private AccountTotals(AccountLoad load) {
            this.load = load;
        }
    }

    private final Scenario scenario;
    private final Map<String, AccountTotals> accounts = new TreeMap<>();
    private final Histogram latency = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram withinRateLatency = new Histogram(SIGNIFICANT_DIGITS);
    private final Histogram completedLatency = new Histogram(SIGNIFICANT_DIGITS);
    private int abandoned;
    private long recomputedTokens;
    private long refusalsWithinRate;
    private double goodputUnits;

    Recorder(Scenario scenario) {
        this.scenario = scenario;
        for (AccountLoad account : scenario.accounts()) {
            accounts.put(account.name(), new AccountTotals(account));
        }
    }

    private double warmUpMillis() {
        return WARM_UP_FRACTION * scenario.arrivalMillis();
    }

    private boolean isMeasured(long millis) {
        return millis >= warmUpMillis() && millis < scenario.arrivalMillis();
    }

    void offered(long nowMillis, Call call) {
        if (isMeasured(nowMillis)) {
            accounts.get(call.account().name()).demandedUnits += units(call);
        }
    }

    private double units(Call call) {
        return scenario.units(call.newPromptTokens, call.outputTokens);
    }

    void answered(long nowMillis, Call call, long cachedTokens) {
        recomputedTokens += Math.max(0, call.promptTokens - cachedTokens - call.newPromptTokens);
        AccountTotals account = accounts.get(call.account().name());
        if (isMeasured(nowMillis)) {
            goodputUnits += units(call);
            account.answeredUnits += units(call);
        }
        boolean inTime = nowMillis - call.firstOfferedMillis <= SERVED_WITHIN_MILLIS;
        if (isMeasured(call.firstOfferedMillis) && inTime) {
            account.servedUnits += units(call);
        }
    }

    void attemptLost(EngineRequest request) {
        if (request.isDecoding()) {
            recomputedTokens += request.promptTokens - request.cachedTokens;
        }
    }

    void refused(Call call) {
        if (call.account().isWithinRate()) {
            refusalsWithinRate++;
        }
    }

    void completed(ProgramRun program) {
        completedLatency.recordValue(program.latencyMillis);
        record(program, program.latencyMillis);
    }

    void abandoned(ProgramRun program, long abandonedAfterMillis) {
        abandoned++;
        record(program, Math.max(abandonedAfterMillis, program.latencyMillis));
    }

    private void record(ProgramRun program, long millis) {
        latency.recordValue(millis);
        if (program.script.account().isWithinRate()) {
            withinRateLatency.recordValue(millis);
        }
        accounts.get(program.script.account().name()).latency.recordValue(millis);
    }

    Measures measures(double unitsDoneWhileArriving) {
        double capacity = scenario.unitsPerSecond() / 1_000;
        Map<String, Double> accountP95 = new TreeMap<>();
        double worstP95 = 0;
        for (AccountTotals totals : accounts.values()) {
            double p95 = totals.latency.getValueAtPercentile(P95);
            accountP95.put(totals.load.name(), p95);
            worstP95 = totals.load.isWithinRate() ? Math.max(worstP95, p95) : worstP95;
        }
        return new Measures(
                latency.getValueAtPercentile(50),
                latency.getValueAtPercentile(P95),
                latency.getValueAtPercentile(99),
                completedLatency.getValueAtPercentile(P95),
                (int) latency.getTotalCount(),
                abandoned,
                recomputedTokens,
                worstShare(),
                worstP95,
                withinRateLatency.getValueAtPercentile(P95),
                accountP95,
                refusalsWithinRate,
                goodputUnits / (capacity * (scenario.arrivalMillis() - warmUpMillis())),
                unitsDoneWhileArriving / (capacity * scenario.arrivalMillis()));
    }

    /**
     * Returns the lowest fraction of its entitlement that any account received. Entitlements follow weighted max-min
     * fairness: each account is entitled to its demand, capped at a level times its weight, where the level is raised
     * until the whole capacity is allocated. An account below its cap must have all its demand answered in time. An
     * account above its cap must have the capped amount of work answered while the other accounts still send requests.
     */
    private double worstShare() {
        double level = fairLevel(scenario.unitsPerSecond() * (scenario.arrivalMillis() - warmUpMillis()) / 1_000);
        double worst = 1;
        for (AccountTotals totals : accounts.values()) {
            double fairUnits = level * totals.load.weight();
            if (totals.demandedUnits > 0) {
                boolean isBelowFairShare = totals.demandedUnits <= fairUnits;
                double share =
                        isBelowFairShare ? totals.servedUnits / totals.demandedUnits : totals.answeredUnits / fairUnits;
                worst = Math.min(worst, share);
            }
        }
        return worst;
    }

    private double fairLevel(double capacityUnits) {
        double low = 0;
        double high = capacityUnits
                / accounts.values().stream()
                        .mapToDouble(totals -> totals.load.weight())
                        .min()
                        .orElse(1);
        for (int iteration = 0; iteration < 60; iteration++) {
            double level = (low + high) / 2;
            double allocatedUnits = accounts.values().stream()
                    .mapToDouble(totals -> Math.min(totals.demandedUnits, level * totals.load.weight()))
                    .sum();
            if (allocatedUnits < capacityUnits) {
                low = level;
            } else {
                high = level;
            }
        }
        return high;
    }
}
