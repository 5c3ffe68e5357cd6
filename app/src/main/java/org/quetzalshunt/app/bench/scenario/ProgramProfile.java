package org.quetzalshunt.app.bench.scenario;

/**
 * Distribution of the properties of one kind of program.
 *
 * @param probability fraction of an account's programs that are of this kind
 * @param turns number of turns
 * @param firstPromptTokens prompt tokens of the first turn
 * @param nextPromptTokens prompt tokens that each later turn adds to the history
 * @param outputTokens answer tokens of a turn
 * @param pauseMillis tool pause between turns
 * @param subAgentChance probability that a turn has two sub-agent calls, which must be answered before the next turn
 */
public record ProgramProfile(
        double probability,
        LogUniformRange turns,
        LogUniformRange firstPromptTokens,
        LogUniformRange nextPromptTokens,
        LogUniformRange outputTokens,
        LogUniformRange pauseMillis,
        double subAgentChance) {

    /** A short question of a few turns, such as one about coursing and batter in bricklaying or about a renewal. */
    static ProgramProfile quick() {
        return new ProgramProfile(
                1,
                LogUniformRange.of(2, 5),
                LogUniformRange.of(600, 1_600),
                LogUniformRange.of(50, 250),
                LogUniformRange.of(60, 200),
                LogUniformRange.of(500, 4_000),
                0);
    }

    /** A planning program with sub-agents, many turns and a long history. */
    static ProgramProfile planning() {
        return new ProgramProfile(
                1,
                LogUniformRange.of(8, 16),
                LogUniformRange.of(2_000, 4_000),
                LogUniformRange.of(200, 800),
                LogUniformRange.of(300, 700),
                LogUniformRange.of(1_000, 8_000),
                0.3);
    }

    /** Returns a copy with another probability. */
    ProgramProfile withProbability(double newProbability) {
        return new ProgramProfile(
                newProbability, turns, firstPromptTokens, nextPromptTokens, outputTokens, pauseMillis, subAgentChance);
    }

    /** Returns a copy with other tool pauses. */
    ProgramProfile withPause(LogUniformRange newPause) {
        return new ProgramProfile(
                probability, turns, firstPromptTokens, nextPromptTokens, outputTokens, newPause, subAgentChance);
    }

    /** Returns a copy with another first prompt length. */
    ProgramProfile withFirstPrompt(LogUniformRange newFirstPrompt) {
        return new ProgramProfile(
                probability, turns, newFirstPrompt, nextPromptTokens, outputTokens, pauseMillis, subAgentChance);
    }
}
