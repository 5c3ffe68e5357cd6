package org.quetzalshunt.core.program;

import java.util.Optional;
import java.util.OptionalInt;

/**
 * What may be told of a program: never its content.
 *
 * @param id id
 * @param clientAccount whose it is
 * @param parent program that made it
 * @param budgetTokens budget; for a sub-agent its own cap below its root's budget
 * @param spentTokens spending, for a root with its sub-agents
 * @param turns turns that ended
 * @param queued turns that wait
 * @param running whether a turn runs
 * @param endedCode result code of its end
 * @param lastActiveMillis time of its last record
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
