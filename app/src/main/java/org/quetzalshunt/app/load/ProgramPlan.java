package org.quetzalshunt.app.load;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * What one program will do, drawn before it starts; the system under load cannot know it.
 *
 * @param turns its calls in their order
 * @param budgetTokens its budget
 */
record ProgramPlan(List<Turn> turns, long budgetTokens) {

    /**
     * One call.
     *
     * @param message what the caller says
     * @param pauseMillis tool pause after the answer
     * @param subAgents programs that run after the answer and before the next turn
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
