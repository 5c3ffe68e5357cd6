package org.quetzalshunt.app.bench.scenario;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Draws the programs of a scenario from a seed. */
final class Workload {
    private static final int SUB_AGENTS_PER_TURN = 2;
    private static final int SAMPLED_PROGRAMS = 2_000;

    private final Scenario scenario;
    private final SplittableRandom random;

    private Workload(Scenario scenario, long seed) {
        this.scenario = scenario;
        this.random = new SplittableRandom(seed);
    }

    /** Returns all programs of a scenario, ordered by arrival. */
    static List<ProgramScript> generate(Scenario scenario, long seed) {
        return new Workload(scenario, seed).drawPrograms();
    }

    private List<ProgramScript> drawPrograms() {
        double programsPerMillis = scenario.load() * scenario.unitsPerSecond() / 1_000 / meanUnits();
        List<ProgramScript> programs = new ArrayList<>();
        for (AccountLoad account : scenario.accounts()) {
            // Each account has its own random generator, so that its programs stay the same when another account's load
            // changes.
            Workload accountWorkload = new Workload(
                    scenario, account.name().hashCode() * 31L + random.split().nextLong());
            accountWorkload.addArrivals(
                    account, programsPerMillis * account.loadFraction() * account.rateFactor(), programs);
        }
        programs.sort(Comparator.comparingLong(ProgramScript::arrivalMillis));
        return programs;
    }

    private double meanUnits() {
        Workload sampler = new Workload(scenario, 1);
        double units = 0;
        for (int number = 0; number < SAMPLED_PROGRAMS; number++) {
            units += sampler.units(sampler.drawTurns());
        }
        return units / SAMPLED_PROGRAMS;
    }

    private double units(List<ProgramScript.Turn> turns) {
        double units = 0;
        for (ProgramScript.Turn turn : turns) {
            units += scenario.units(turn.newPromptTokens(), turn.outputTokens());
            for (ProgramScript.SubAgent agent : turn.subAgents()) {
                units += scenario.units(agent.promptTokens(), agent.outputTokens());
            }
        }
        return units;
    }

    private void addArrivals(AccountLoad account, double perMillis, List<ProgramScript> programs) {
        double peakPerMillis = perMillis * Math.max(1, scenario.burst().factor());
        double millis = 0;
        int number = 0;
        while (true) {
            millis -= Math.log(1 - random.nextDouble()) / peakPerMillis;
            if (millis >= scenario.arrivalMillis()) {
                return;
            }
            long arrival = (long) millis;
            double acceptance = perMillis * scenario.burst().factorAt(arrival) / peakPerMillis;
            if (random.nextDouble() < acceptance) {
                programs.add(new ProgramScript(account.name() + "-" + number++, account, arrival, drawTurns()));
            }
        }
    }

    private List<ProgramScript.Turn> drawTurns() {
        ProgramProfile profile = drawProfile();
        List<ProgramScript.Turn> turns = new ArrayList<>();
        long count = profile.turns().draw(random);
        for (long turn = 0; turn < count; turn++) {
            LogUniformRange prompt = turn == 0 ? profile.firstPromptTokens() : profile.nextPromptTokens();
            turns.add(new ProgramScript.Turn(
                    prompt.draw(random),
                    profile.outputTokens().draw(random),
                    profile.pauseMillis().draw(random),
                    drawSubAgents(profile)));
        }
        return turns;
    }

    private List<ProgramScript.SubAgent> drawSubAgents(ProgramProfile profile) {
        if (random.nextDouble() >= profile.subAgentChance()) {
            return List.of();
        }
        List<ProgramScript.SubAgent> agents = new ArrayList<>();
        for (int agent = 0; agent < SUB_AGENTS_PER_TURN; agent++) {
            agents.add(new ProgramScript.SubAgent(
                    profile.nextPromptTokens().draw(random),
                    profile.outputTokens().draw(random)));
        }
        return agents;
    }

    private ProgramProfile drawProfile() {
        double drawn = random.nextDouble();
        for (ProgramProfile profile : scenario.programs()) {
            drawn -= profile.probability();
            if (drawn < 0) {
                return profile;
            }
        }
        return scenario.programs().get(scenario.programs().size() - 1);
    }
}
