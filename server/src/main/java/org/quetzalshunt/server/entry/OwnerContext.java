package org.quetzalshunt.server.entry;

import java.util.Map;
import java.util.function.Consumer;
import org.quetzalshunt.core.configuration.Configuration;

/**
 * What runs at the owner share.
 *
 * @param clock this process's time
 * @param configuration documents in force
 * @param board work that waits or runs
 * @param attempts attempts at sidecars
 * @param runs turns under way by request id
 * @param callRuns calls under way by request id
 * @param waiters re-sends of what is under way
 * @param measures what is counted
 * @param programEnder frees what is held for a program that ended
 */
record OwnerContext(
        EntryClock clock,
        Configuration configuration,
        WorkBoard board,
        AttemptBoard attempts,
        Map<String, ChatRun> runs,
        Map<String, CallRun> callRuns,
        Waiters waiters,
        EntryMeasures measures,
        Consumer<String> programEnder) {

    void programEnded(String program) {
        programEnder.accept(program);
        board.scheduler().cacheForgotten(program);
    }
}
