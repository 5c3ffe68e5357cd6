package org.quetzalshunt.app.load;

import java.util.List;
import java.util.Optional;

/**
 * What programs of a deployment look like. Counts are uniform between their bounds, pauses exponential.
 *
 * @param minimumTurns fewest dependent calls of a program
 * @param maximumTurns most dependent calls of a program
 * @param openingWords words of the first message, which carries the service's instructions
 * @param turnWords words of each later message
 * @param minimumAnswerWords shortest answer
 * @param maximumAnswerWords longest answer
 * @param meanToolPauseMillis mean time between an answer and the next call
 * @param subAgentShare share of turns that start a sub-agent, for which the program waits
 * @param subAgentTurns calls of a sub-agent
 * @param budgetTokens budget of a program with its sub-agents
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

    /** Quick questions beside planned terrace walls: longer programs, slower tools, helpers that check stone lists. */
    private static final LoadShape MAWE_KAVU = new LoadShape("mawe-kavu", 2, 8, 600, 60, 20, 80, 400, 0.25, 2, 200_000);

    static Optional<LoadShape> named(String name) {
        return List.of(KITE_READERS, MAWE_KAVU).stream()
                .filter(shape -> shape.name().equals(name))
                .findFirst();
    }
}
