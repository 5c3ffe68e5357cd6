package org.quetzalshunt.app.load;

import java.util.List;
import java.util.Optional;

/**
 * Distribution from which the programs of a workload are drawn. Counts are uniform between their bounds, and pauses are
 * exponential.
 *
 * @param minimumTurns minimum number of turns of a program, each depending on the one before
 * @param maximumTurns maximum number of turns of a program
 * @param openingWords words of instructions at the start of the first message
 * @param turnWords words of each question
 * @param minimumAnswerWords words of the shortest answer
 * @param maximumAnswerWords words of the longest answer
 * @param meanToolPauseMillis mean time between an answer and the next call
 * @param subAgentShare share of turns that start a sub-agent and wait for it
 * @param subAgentTurns turns of a sub-agent
 * @param budgetTokens token budget of a program, including its sub-agents
 */
record LoadShape(
        String name,
        int minimumTurns,
        int maximumTurns,
        int openingWords,
        int turnWords,
        int minimumAnswerWords,
        int maximumAnswerWords,
        long meanToolPauseMillis,
        double subAgentShare,
        int subAgentTurns,
        long budgetTokens) {
    /** Renewal assistant, reading-club tutor and record queries: short programs, quick tools, few sub-agents. */
    private static final LoadShape KITE_READERS =
            new LoadShape("kite-readers", 1, 4, 300, 30, 12, 40, 150, 0.05, 1, 100_000);

    /** Quick questions mixed with planning tasks: longer programs, slower tools, many sub-agents that check lists. */
    private static final LoadShape MAWE_KAVU = new LoadShape("mawe-kavu", 2, 8, 600, 60, 20, 80, 400, 0.25, 2, 200_000);

    static Optional<LoadShape> byName(String name) {
        return List.of(KITE_READERS, MAWE_KAVU).stream()
                .filter(shape -> shape.name().equals(name))
                .findFirst();
    }
}
