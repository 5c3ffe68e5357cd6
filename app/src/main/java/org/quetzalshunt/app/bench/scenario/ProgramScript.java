package org.quetzalshunt.app.bench.scenario;

import java.util.List;

/**
 * Turns and sub-agent calls of one program, drawn before the run so that all policies get the same programs.
 *
 * @param name root program id
 * @param account its client account
 * @param arrivalMillis time of its first turn
 * @param turns its turns
 */
record ProgramScript(String name, AccountLoad account, long arrivalMillis, List<Turn> turns) {
    /**
     * One turn of the program.
     *
     * @param newPromptTokens prompt tokens that the turn adds to the history
     * @param outputTokens length of the answer
     * @param pauseMillis tool pause after the turn
     * @param subAgents sub-agent calls that must be answered before the next turn
     */
    record Turn(long newPromptTokens, long outputTokens, long pauseMillis, List<SubAgent> subAgents) {}

    /**
     * One call of a sub-agent.
     *
     * @param promptTokens length of the prompt
     * @param outputTokens length of the answer
     */
    record SubAgent(long promptTokens, long outputTokens) {}
}
