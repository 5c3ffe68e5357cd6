package org.quetzalshunt.app.bench.play;

/**
 * Shape of the programs of one kind.
 *
 * @param probability part of the account's programs that have it
 * @param turns turns of a program
 * @param firstPromptTokens prompt of the first turn
 * @param nextPromptTokens what each later turn adds to the history
 * @param outputTokens answer of a turn
 * @param pauseMillis tool pause between turns
 * @param subAgentChance chance that a turn has two sub-agents, which the next turn waits for
 */
public record ProgramShape(
        double probability,
        Range turns,
        Range firstPromptTokens,
        Range nextPromptTokens,
        Range outputTokens,
        Range pauseMillis,
        double subAgentChance) {

    /** A quick question with a few turns, as on coursing and batter or on a renewal. */
    static ProgramShape quick() {
        return new ProgramShape(
                1, Range.of(2, 5), Range.of(600, 1_600), Range.of(50, 250), Range.of(60, 200), Range.of(500, 4_000), 0);
    }

    /** A planning program with helpers, many turns and a long history. */
    static ProgramShape planning() {
        return new ProgramShape(
                1,
                Range.of(8, 16),
                Range.of(2_000, 4_000),
                Range.of(200, 800),
                Range.of(300, 700),
                Range.of(1_000, 8_000),
                0.3);
    }

    /** The same with a probability. */
    ProgramShape with(double newProbability) {
        return new ProgramShape(
                newProbability, turns, firstPromptTokens, nextPromptTokens, outputTokens, pauseMillis, subAgentChance);
    }

    /** The same with other tool pauses. */
    ProgramShape withPause(Range newPause) {
        return new ProgramShape(
                probability, turns, firstPromptTokens, nextPromptTokens, outputTokens, newPause, subAgentChance);
    }

    /** The same with another first prompt. */
    ProgramShape withFirstPrompt(Range newFirstPrompt) {
        return new ProgramShape(
                probability, turns, newFirstPrompt, nextPromptTokens, outputTokens, pauseMillis, subAgentChance);
    }
}
