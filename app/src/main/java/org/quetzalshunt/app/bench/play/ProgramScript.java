package org.quetzalshunt.app.bench.play;

import java.util.List;

/**
 * What one program will do, drawn before any policy sees it, so that all policies get the same programs.
 *
 * @param name root program id
 * @param account its client account
 * @param arrivalMillis when its first turn comes
 * @param turns its turns
 */
record ProgramScript(String name, AccountLoad account, long arrivalMillis, List<Turn> turns) {
    /**
     * One turn.
     *
     * @param newPromptTokens what it adds to the history
     * @param outputTokens its answer
     * @param pauseMillis tool pause after it
     * @param subAgents calls of its sub-agents, which the next turn waits for
     */
    record Turn(long newPromptTokens, long outputTokens, long pauseMillis, List<SubAgent> subAgents) {}

    /**
     * One call of a sub-agent.
     *
     * @param promptTokens its prompt
     * @param outputTokens its answer
     */
    record SubAgent(long promptTokens, long outputTokens) {}
}
