package org.quetzalshunt.app.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Turns of one program, drawn before it starts. The system under load does not receive them in advance.
 *
 * @param turns turns in the order in which they are sent
 * @param budgetTokens token budget of the program
 */
record ProgramPlan(List<Turn> turns, long budgetTokens) {

    /**
     * One chat call with the tool pause and the sub-agents that follow it.
     *
     * @param message text of the user message
     * @param pauseMillis time between the answer and the next turn, in which the caller runs a tool
     * @param subAgents child programs that run one after the other between the answer and the pause
     */
    record Turn(String message, long pauseMillis, List<ProgramPlan> subAgents) {}

    static ProgramPlan draw(LoadShape shape, SplittableRandom random) {
        int turns = random.nextInt(shape.minimumTurns(), shape.maximumTurns() + 1);
        return draw(shape, turns, shape.subAgentShare(), random);
    }

    private static ProgramPlan draw(LoadShape shape, int count, double subAgentShare, SplittableRandom random) {
        List<Turn> turns = new ArrayList<>();
        String opening = "instructions of " + shape.name() + " " + "rule ".repeat(shape.openingWords());
        for (int i = 0; i < count; i++) {
            String message = (i == 0 ? opening : "") + message(shape, random);
            boolean last = i == count - 1;
            List<ProgramPlan> subAgents = random.nextDouble() < subAgentShare
                    ? List.of(draw(shape, shape.subAgentTurns(), 0, random))
                    : List.of();
            turns.add(new Turn(message, last ? 0 : pause(shape, random), subAgents));
        }
        return new ProgramPlan(turns, shape.budgetTokens());
    }

    private static String message(LoadShape shape, SplittableRandom random) {
        int answerWords = random.nextInt(shape.minimumAnswerWords(), shape.maximumAnswerWords() + 1);
        return "question " + Long.toHexString(random.nextLong()) + " " + "stone ".repeat(shape.turnWords()) + "[words="
                + answerWords + "]";
    }

    private static long pause(LoadShape shape, SplittableRandom random) {
        return Math.round(-Math.log(1 - random.nextDouble()) * shape.meanToolPauseMillis());
    }
}
