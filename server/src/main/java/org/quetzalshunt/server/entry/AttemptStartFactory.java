package org.quetzalshunt.server.entry;

import java.util.Map;
import org.quetzalshunt.core.decision.Dispatch;
import org.quetzalshunt.core.document.ServiceLimits;
import org.quetzalshunt.core.program.Shard;
import org.quetzalshunt.core.program.TurnStart;
import org.quetzalshunt.wire.generated.AttemptStart;

/** Builds the messages that start an attempt at a sidecar. */
final class AttemptStartFactory {
    /**
     * Lease on the cached prefix of a program in an engine's memory, which is freed this long after the owner has
     * crashed. Owners renew the lease also during long tool pauses, so it only has to outlast a takeover. At that point
     * the new owner does not yet know which endpoint has the prefix.
     */
    static final long CACHE_LEASE_MILLIS = 10_000;

    private AttemptStartFactory() {}

    static AttemptStart ofTurn(
            OwnerContext owner, Shard shard, TurnStart start, ChatBody body, OwnerRequest request, Dispatch dispatch) {
        AttemptStart message =
                withCommonFields(owner, request, dispatch, start.request().limits());
        message.setShard(shard.number());
        message.setEpoch(shard.epoch());
        message.setProgram(start.request().program());
        message.setServiceName(body.service());
        message.setMethod("POST");
        message.setPath("/v1/chat/completions");
        message.setHeaders(Map.of("content-type", "application/json"));
        message.setBody(body.engineBody(start.prompt(), start.maximumOutputTokens()));
        message.setRepeatable(true);
        message.setStream(true);
        message.setCacheLeaseMillis(start.request().implicitProgram() ? 0 : CACHE_LEASE_MILLIS);
        return message;
    }

    static AttemptStart ofCall(
            OwnerContext owner,
            Shard shard,
            String service,
            String path,
            ServiceLimits limits,
            boolean repeatable,
            OwnerRequest request,
            Dispatch dispatch) {
        AttemptStart message = withCommonFields(owner, request, dispatch, limits);
        message.setShard(shard.number());
        message.setEpoch(shard.epoch());
        message.setProgram(request.header(CallerHeaders.PROGRAM).orElse(""));
        message.setServiceName(service);
        message.setMethod(request.method());
        message.setPath(path);
        message.setHeaders(CallerHeaders.toEndpoint(request));
        message.setBody(request.body());
        message.setRepeatable(repeatable);
        message.setStream(false);
        return message;
    }

    private static AttemptStart withCommonFields(
            OwnerContext owner, OwnerRequest request, Dispatch dispatch, ServiceLimits limits) {
        AttemptStart message = new AttemptStart();
        message.setClientAccount(request.clientAccount());
        message.setRequestId(request.requestId());
        message.setPriority(dispatch.priority());
        message.setRemainingMillis(
                Math.max(1, request.deadlineMillis() - owner.clock().now()));
        message.setStallMillis(limits.stallMillis());
        return message;
    }
}
