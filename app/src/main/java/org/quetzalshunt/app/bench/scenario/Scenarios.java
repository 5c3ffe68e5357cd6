package org.quetzalshunt.app.bench.scenario;

import java.util.List;
import java.util.Optional;

/**
 * The predefined scenarios, modelled on two deployments. Unless stated otherwise, a scenario has six engines and eight
 * client accounts.
 */
public final class Scenarios {
    private static final int ENGINES = 6;
    private static final int ENTRIES = 2;
    private static final long ARRIVAL_MILLIS = 480_000;
    private static final Scenario.Reports REPORTS = new Scenario.Reports(500, 200);

    /** Name of the account that sends more than its rate in {@link #flood()}. */
    public static final String FLOODING_ACCOUNT = "account-1";

    private Scenarios() {}

    /** All scenarios, in the order in which the benchmark runs them. */
    public static List<Scenario> all() {
        return List.of(
                burst(),
                fewAccounts(),
                flood(),
                slowEndpoint(),
                lostEndpoint(),
                longAmongShort(),
                cacheThrash(),
                laggingReports(),
                saturation(),
                toolPauses());
    }

    /** Finds a scenario by its name. */
    public static Optional<Scenario> find(String name) {
        return all().stream().filter(scenario -> scenario.name().equals(name)).findFirst();
    }

    private static Scenario base(double load) {
        return new Scenario(
                "",
                "",
                ENGINES,
                EngineParameters.midRange(),
                ENTRIES,
                REPORTS,
                accounts(0.3, 0.2, 0.15, 0.1, 0.1, 0.05, 0.05, 0.05),
                List.of(
                        ProgramProfile.quick().withProbability(0.96),
                        ProgramProfile.planning().withProbability(0.04)),
                load,
                Scenario.Burst.none(),
                List.of(),
                ARRIVAL_MILLIS);
    }

    private static List<AccountLoad> accounts(double... loadFractions) {
        AccountLoad[] accounts = new AccountLoad[loadFractions.length];
        for (int index = 0; index < loadFractions.length; index++) {
            accounts[index] = new AccountLoad("account-" + (index + 1), 1, loadFractions[index], 1);
        }
        return List.of(accounts);
    }

    /** All accounts send three times their usual load for twenty seconds. */
    public static Scenario burst() {
        return base(0.6)
                .withName("burst", "each account sends three times its usual load for twenty seconds")
                .withBurst(new Scenario.Burst(240_000, 260_000, 3));
    }

    /** Two of eight accounts send four fifths of the load. */
    public static Scenario fewAccounts() {
        return base(0.8)
                .withName("few-accounts", "two of eight accounts send four fifths of the load")
                .withAccounts(accounts(0.4, 0.4, 0.05, 0.05, 0.04, 0.02, 0.02, 0.02));
    }

    /** One account sends ten times its agreed rate while seven others stay within theirs. */
    public static Scenario flood() {
        return floodWithFactor(10);
    }

    /** The flood scenario with another rate factor for the flooding account; zero removes that account's load. */
    public static Scenario floodWithFactor(double factor) {
        List<AccountLoad> accounts = new java.util.ArrayList<>(accounts(0.2, 0.2, 0.15, 0.15, 0.1, 0.1, 0.05, 0.05));
        accounts.set(0, new AccountLoad(FLOODING_ACCOUNT, 1, 0.2, factor));
        return base(0.5)
                .withName("flood", "one account sends ten times its agreed rate")
                .withAccounts(accounts);
    }

    /** One of six engines runs at a fifth of its speed for two minutes. */
    public static Scenario slowEndpoint() {
        return base(0.65)
                .withName("slow-endpoint", "one of six engines runs at a fifth of its speed for two minutes")
                .withFaults(List.of(new Fault.Slowdown(0, 240_000, 360_000, 0.2)));
    }

    /** One of six engines crashes and restarts a minute later with an empty cache. */
    public static Scenario lostEndpoint() {
        return base(0.65)
                .withName("lost-endpoint", "one of six engines crashes and restarts a minute later with an empty cache")
                .withFaults(List.of(new Fault.Crash(0, 240_000, 300_000)));
    }

    /** Long planning programs mixed with quick questions, at a load that keeps the round-robin baseline 85% busy. */
    public static Scenario longAmongShort() {
        return base(LONG_AMONG_SHORT_LOAD)
                .withName("long-among-short", "long planning programs among quick questions at 85% load");
    }

    /** Load at which round robin keeps its engines 85% busy, counting the prompt tokens that it computes again. */
    private static final double LONG_AMONG_SHORT_LOAD = 0.7;

    /** The histories of the live programs exceed the engines' caches. */
    public static Scenario cacheThrash() {
        return base(0.55)
                .withName("cache-thrash", "the live programs' histories are larger than the engines' caches")
                .withPrograms(List.of(ProgramProfile.quick()
                        .withFirstPrompt(LogUniformRange.of(2_000, 6_000))
                        .withPause(LogUniformRange.of(2_000, 20_000))))
                .withEngines(ENGINES, EngineParameters.midRange().withCache(60_000), ENTRIES, REPORTS);
    }

    /** Sixteen entries share forty engines. Load reports are sent every two seconds and are a second old on arrival. */
    public static Scenario laggingReports() {
        return base(0.8)
                .withName("lagging-reports", "sixteen entries share forty engines with reports up to three seconds old")
                .withEngines(40, EngineParameters.midRange(), 16, new Scenario.Reports(2_000, 1_000))
                .withLoad(0.8, 240_000);
    }

    /** All accounts together send twice the capacity of the engines. */
    public static Scenario saturation() {
        Scenario scenario = base(1);
        List<AccountLoad> doubled = scenario.accounts().stream()
                .map(account -> new AccountLoad(account.name(), account.weight(), account.loadFraction(), 2))
                .toList();
        return scenario.withName(
                        "saturation",
                        "each account sends twice its agreed rate, in all twice the capacity of the engines")
                .withAccounts(doubled);
    }

    /** Programs pause between one second and ten minutes for tool calls. */
    public static Scenario toolPauses() {
        return base(0.5)
                .withName("tool-pauses", "tool pauses last from one second to ten minutes")
                .withPrograms(List.of(
                        ProgramProfile.quick().withProbability(0.96).withPause(LogUniformRange.of(1_000, 600_000)),
                        ProgramProfile.planning().withProbability(0.04).withPause(LogUniformRange.of(1_000, 600_000))))
                .withLoad(0.7, 1_200_000);
    }
}
