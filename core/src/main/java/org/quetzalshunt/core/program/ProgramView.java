package org.quetzalshunt.core.program;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * The data of a program that may be shown outside the shard. Never contains messages.
 *
 * @param id id of the program
 * @param clientAccount client account that owns the program
 * @param parent program that created this one as a sub-agent
 * @param budgetTokens token budget; for a sub-agent, a limit of its own within its root's budget
 * @param spentTokens tokens spent; for a root, including its sub-agents
 * @param turns completed turns
 * @param queued waiting turns
 * @param running whether a turn is running
 * @param endedCode number of the result code with which the program ended; empty if it has not
 * @param lastActiveMillis timestamp of the last creation, turn end or program end
 */
public record ProgramView(
        String id,
        String clientAccount,
        Optional<String> parent,
        long budgetTokens,
        long spentTokens,
        int turns,
        int queued,
        boolean running,
        OptionalInt endedCode,
        long lastActiveMillis) {}
