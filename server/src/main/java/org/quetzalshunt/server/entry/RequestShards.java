package org.quetzalshunt.server.entry;

import java.util.Optional;
import org.quetzalshunt.core.program.ShardNumbers;

/** Determines the shard of a request, in the same way at the entry that receives it and at those it is forwarded to. */
final class RequestShards {
    private RequestShards() {}

    static int of(OwnerRequest request, int shards) {
        boolean aboutProgram = request.path().startsWith(OwnerService.PROGRAMS_PATH + "/");
        if (aboutProgram) {
            return ShardNumbers.ofProgram(request.path().substring(OwnerService.PROGRAMS_PATH.length() + 1), shards);
        }
        Optional<String> program = request.header(CallerHeaders.PROGRAM);
        if (program.isPresent()) {
            return ShardNumbers.ofProgram(program.get(), shards);
        }
        if (request.path().equals(OwnerService.CHAT_PATH)) {
            return ShardNumbers.ofProgram(ProgramIds.implicit(request), shards);
        }
        return ShardNumbers.ofCall(request.clientAccount(), request.idempotencyKey(), shards);
    }
}
