package org.quetzalshunt.app.bench.play;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Draws the programs of a play from a seed. */
final class Workload {
    private static final int SUB_AGENTS = 2;
    private static final int SAMPLED_PROGRAMS = 2_000;

    private final Play play;
    private final SplittableRandom random;

    private Workload(Play play, long seed) {
        this.play = play;
        this.random = new SplittableRandom(seed);
    }

    /** All programs of a play, by arrival. */
    static List<ProgramScript> draw(Play play, long seed) {
        return new Workload(play, seed).programs();
    }

    private List<ProgramScript> programs() {
        double programsPerMillis = play.load() * play.unitsPerSecond() / 1_000 / meanUnits();
        List<ProgramScript> programs = new ArrayList<>();
        for (AccountLoad account : play.accounts()) {
            // Each account draws from its own generator, so that an account's programs stay the same when another
            // one's load changes.
            Workload own = new Workload(
                    play, account.name().hashCode() * 31L + random.split().nextLong());
            own.arrivals(account, programsPerMillis * account.part() * account.factor(), programs);
        }
        programs.sort(Comparator.comparingLong(ProgramScript::arrivalMillis));
        return programs;
    }

    private double meanUnits() {
        Workload sampler = new Workload(play, 1);
        double units = 0;
        for (int number = 0; number < SAMPLED_PROGRAMS; number++) {
            units += sampler.units(sampler.turns());
        }
        return units / SAMPLED_PROGRAMS;
    }

    private double units(List<ProgramScript.Turn> turns) {
        double units = 0;
        for (ProgramScript.Turn turn : turns) {
            units += play.units(turn.newPromptTokens(), turn.outputTokens());
            for (ProgramScript.SubAgent agent : turn.subAgents()) {
                units += play.units(agent.promptTokens(), agent.outputTokens());
            }
        }
        return units;
    }

    private void arrivals(AccountLoad account, double perMillis, List<ProgramScript> programs) {
        double most = perMillis * Math.max(1, play.burst().factor());
        double millis = 0;
        int number = 0;
        while (true) {
            millis -= Math.log(1 - random.nextDouble()) / most;
            if (millis >= play.arrivalMillis()) {
                return;
            }
            long arrival = (long) millis;
            double accepted = perMillis * play.burst().factorAt(arrival) / most;
            if (random.nextDouble() < accepted) {
                programs.add(new ProgramScript(account.name() + "-" + number++, account, arrival, turns()));
            }
        }
    }

    private List<ProgramScript.Turn> turns() {
        ProgramShape shape = shape();
        List<ProgramScript.Turn> turns = new ArrayList<>();
        long count = shape.turns().draw(random);
        for (long turn = 0; turn < count; turn++) {
            Range prompt = turn == 0 ? shape.firstPromptTokens() : shape.nextPromptTokens();
            turns.add(new ProgramScript.Turn(
                    prompt.draw(random),
                    shape.outputTokens().draw(random),
                    shape.pauseMillis().draw(random),
                    subAgents(shape)));
        }
        return turns;
    }

    private List<ProgramScript.SubAgent> subAgents(ProgramShape shape) {
        if (random.nextDouble() >= shape.subAgentChance()) {
            return List.of();
        }
        List<ProgramScript.SubAgent> agents = new ArrayList<>();
        for (int agent = 0; agent < SUB_AGENTS; agent++) {
            agents.add(new ProgramScript.SubAgent(
                    shape.nextPromptTokens().draw(random), shape.outputTokens().draw(random)));
        }
        return agents;
    }

    private ProgramShape shape() {
        double drawn = random.nextDouble();
        for (ProgramShape shape : play.programs()) {
            drawn -= shape.probability();
            if (drawn < 0) {
                return shape;
            }
        }
        return play.programs().get(play.programs().size() - 1);
    }
}
