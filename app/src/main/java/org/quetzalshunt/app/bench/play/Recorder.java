package org.quetzalshunt.app.bench.play;

import java.util.Map;
import java.util.TreeMap;
import org.HdrHistogram.Histogram;

/** Gathers what callers get during one run. */
final class Recorder {
    /** Part of the arrivals' time that goodput leaves out, while queues fill. */
    private static final double WARM_UP_PART = 0.4;

    /** Time within which an answer counts as served to an account that asks for less than its fair part. */
    private static final long SERVED_MILLIS = 60_000;

    private static final int DIGITS = 3;
    private static final double P95 = 95;

    private static final class AccountRow {
        private final AccountLoad load;
        private final Histogram latency = new Histogram(DIGITS);
        private double demandedUnits;
        private double answeredUnits;
        private double servedUnits;

        private AccountRow(AccountLoad load) {
            this.load = load;
        }
    }

    private final Play play;
    private final Map<String, AccountRow> accounts = new TreeMap<>();
    private final Histogram latency = new Histogram(DIGITS);
    private final Histogram withinRateLatency = new Histogram(DIGITS);
    private final Histogram completedLatency = new Histogram(DIGITS);
    private int abandoned;
    private long recomputedTokens;
    private long refusalsWithinRate;
    private double goodUnits;

    Recorder(Play play) {
        this.play = play;
        for (AccountLoad account : play.accounts()) {
            accounts.put(account.name(), new AccountRow(account));
        }
    }

    private double warmUpMillis() {
        return WARM_UP_PART * play.arrivalMillis();
    }

    private boolean measured(long millis) {
        return millis >= warmUpMillis() && millis < play.arrivalMillis();
    }

    void offered(long nowMillis, Call call) {
        if (measured(nowMillis)) {
            accounts.get(call.account().name()).demandedUnits += units(call);
        }
    }

    private double units(Call call) {
        return play.units(call.newPromptTokens, call.outputTokens);
    }

    void answered(long nowMillis, Call call, long cachedTokens) {
        recomputedTokens += Math.max(0, call.promptTokens - cachedTokens - call.newPromptTokens);
        AccountRow account = accounts.get(call.account().name());
        if (measured(nowMillis)) {
            goodUnits += units(call);
            account.answeredUnits += units(call);
        }
        boolean inTime = nowMillis - call.firstOfferedMillis <= SERVED_MILLIS;
        if (measured(call.firstOfferedMillis) && inTime) {
            account.servedUnits += units(call);
        }
    }

    void attemptLost(EngineRequest request) {
        if (request.decoding()) {
            recomputedTokens += request.promptTokens - request.cachedTokens;
        }
    }

    void refused(Call call) {
        if (call.account().withinRate()) {
            refusalsWithinRate++;
        }
    }

    void completed(ProgramRun program) {
        completedLatency.recordValue(program.latencyMillis);
        record(program, program.latencyMillis);
    }

    void abandoned(ProgramRun program, long patienceMillis) {
        abandoned++;
        record(program, Math.max(patienceMillis, program.latencyMillis));
    }

    private void record(ProgramRun program, long millis) {
        latency.recordValue(millis);
        if (program.script.account().withinRate()) {
            withinRateLatency.recordValue(millis);
        }
        accounts.get(program.script.account().name()).latency.recordValue(millis);
    }

    Measures measures(double unitsDoneWhileArriving) {
        double capacity = play.unitsPerSecond() / 1_000;
        Map<String, Double> accountP95 = new TreeMap<>();
        double worstP95 = 0;
        for (AccountRow row : accounts.values()) {
            double p95 = row.latency.getValueAtPercentile(P95);
            accountP95.put(row.load.name(), p95);
            worstP95 = row.load.withinRate() ? Math.max(worstP95, p95) : worstP95;
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
                goodUnits / (capacity * (play.arrivalMillis() - warmUpMillis())),
                unitsDoneWhileArriving / (capacity * play.arrivalMillis()));
    }

    /**
     * Lowest share of an entitlement, where an account is entitled to its demand up to a level by weight, and the
     * level is raised until capacity is given out (max-min fairness). An account below the level must get all it asks
     * for in time; one above it must get the level's work while others ask for theirs.
     */
    private double worstShare() {
        double level = fairLevel(play.unitsPerSecond() * (play.arrivalMillis() - warmUpMillis()) / 1_000);
        double worst = 1;
        for (AccountRow row : accounts.values()) {
            double fair = level * row.load.weight();
            if (row.demandedUnits > 0) {
                boolean below = row.demandedUnits <= fair;
                double share = below ? row.servedUnits / row.demandedUnits : row.answeredUnits / fair;
                worst = Math.min(worst, share);
            }
        }
        return worst;
    }

    private double fairLevel(double capacityUnits) {
        double low = 0;
        double high = capacityUnits
                / accounts.values().stream()
                        .mapToDouble(row -> row.load.weight())
                        .min()
                        .orElse(1);
        for (int halving = 0; halving < 60; halving++) {
            double level = (low + high) / 2;
            double given = accounts.values().stream()
                    .mapToDouble(row -> Math.min(row.demandedUnits, level * row.load.weight()))
                    .sum();
            if (given < capacityUnits) {
                low = level;
            } else {
                high = level;
            }
        }
        return high;
    }
}
