package org.quetzalshunt.server.entry;

import java.util.Map;
import org.quetzalshunt.core.decision.Dispatch;
import org.quetzalshunt.core.document.ServiceLimits;
import org.quetzalshunt.core.program.Shard;
import org.quetzalshunt.core.program.TurnStart;
import org.quetzalshunt.wire.generated.AttemptStart;

/** Builds the orders for sidecars. */
final class AttemptOrders {
    /**
     * Engine memory of a program whose owner is gone is freed after this. Owners renew it through tool pauses of any
     * length, so it need only outlive a takeover, by which time the new owner has not yet found the program's place.
     */
    static final long CACHE_LEASE_MILLIS = 10_000;

    private AttemptOrders() {}

    static AttemptStart ofTurn(
            OwnerContext owner, Shard shard, TurnStart start, ChatBody body, OwnerRequest request, Dispatch dispatch) {
        AttemptStart order = common(owner, request, dispatch, start.request().limits());
        order.setShard(shard.number());
        order.setEpoch(shard.epoch());
        order.setProgram(start.request().program());
        order.setServiceName(body.service());
        order.setMethod("POST");
        order.setPath("/v1/chat/completions");
        order.setHeaders(Map.of("content-type", "application/json"));
        order.setBody(body.engineBody(start.prompt(), start.maximumOutputTokens()));
        order.setRepeatable(true);
        order.setStream(true);
        order.setCacheLeaseMillis(start.request().implicitProgram() ? 0 : CACHE_LEASE_MILLIS);
        return order;
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
        AttemptStart order = common(owner, request, dispatch, limits);
        order.setShard(shard.number());
        order.setEpoch(shard.epoch());
        order.setProgram(request.header(CallerHeaders.PROGRAM).orElse(""));
        order.setServiceName(service);
        order.setMethod(request.method());
        order.setPath(path);
        order.setHeaders(CallerHeaders.toEndpoint(request));
        order.setBody(request.body());
        order.setRepeatable(repeatable);
        order.setStream(false);
        return order;
    }

    private static AttemptStart common(
            OwnerContext owner, OwnerRequest request, Dispatch dispatch, ServiceLimits limits) {
        AttemptStart order = new AttemptStart();
        order.setClientAccount(request.clientAccount());
        order.setRequestId(request.requestId());
        order.setPriority(dispatch.priority());
        order.setRemainingMillis(
                Math.max(1, request.deadlineMillis() - owner.clock().now()));
        order.setStallMillis(limits.stallMillis());
        return order;
    }
}
