package org.quetzalshunt.server.entry;

import java.util.Optional;
import org.quetzalshunt.core.program.ShardNumbers;

/** The shard of a request, worked out alike by the entry that takes it and by each that it is passed to. */
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
