package org.quetzalshunt.server.entry;

import org.quetzalshunt.core.decision.WorkItem;
import org.quetzalshunt.core.document.ClientAccount;
import org.quetzalshunt.core.program.ShardNumbers;
import org.quetzalshunt.core.program.TurnRequest;
import org.quetzalshunt.core.program.TurnStart;

/** Creates the scheduler's descriptions of turns and calls. */
final class WorkItemFactory {
    /**
     * Mean number of bytes of a token in English text, to estimate the tokens of new messages. From the second turn on,
     * the engine's count is used for the history.
     */
    private static final long BYTES_PER_TOKEN = 4;

    private WorkItemFactory() {}

    static WorkItem ofTurn(
            OwnerContext owner, long id, TurnStart start, long arrivedMillis, int attempts, String avoidEndpoint) {
        TurnRequest request = start.request();
        return new WorkItem(
                id,
                request.service(),
                request.clientAccount(),
                weight(owner, request.service(), request.clientAccount()),
                ShardNumbers.root(request.program()),
                request.program(),
                start.turn(),
                start.contextTokens() + start.newBytes() / BYTES_PER_TOKEN,
                start.maximumOutputTokens(),
                arrivedMillis,
                request.deadlineMillis(),
                attempts,
                avoidEndpoint);
    }

    static WorkItem ofCall(
            OwnerContext owner,
            long id,
            String service,
            OwnerRequest request,
            long arrivedMillis,
            int attempts,
            String avoidEndpoint) {
        return new WorkItem(
                id,
                service,
                request.clientAccount(),
                weight(owner, service, request.clientAccount()),
                request.header(CallerHeaders.PROGRAM).map(ShardNumbers::root).orElse(request.requestId()),
                "",
                1,
                0,
                1,
                arrivedMillis,
                request.deadlineMillis(),
                attempts,
                avoidEndpoint);
    }

    private static double weight(OwnerContext owner, String service, String account) {
        return owner.configuration()
                .document(service)
                .flatMap(document -> document.document().flatMap(value -> value.account(account)))
                .map(ClientAccount::weight)
                .orElse(1.0);
    }
}
