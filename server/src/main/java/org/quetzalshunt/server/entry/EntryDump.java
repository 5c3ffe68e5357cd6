package org.quetzalshunt.server.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.quetzalshunt.core.configuration.ConfigurationStatus;
import org.quetzalshunt.core.decision.AccountView;
import org.quetzalshunt.core.decision.EndpointView;
import org.quetzalshunt.core.decision.Scheduler;
import org.quetzalshunt.core.limit.LimitStatus;
import org.quetzalshunt.core.log.StreamSession;
import org.quetzalshunt.core.membership.Member;
import org.quetzalshunt.core.membership.Membership;
import org.quetzalshunt.core.program.ProgramView;
import org.quetzalshunt.core.program.Shard;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.wire.json.Json;

/** Exports the state of an entry as JSON. The size is bounded, and keys and the contents of programs are left out. */
final class EntryDump {
    private static final int MAXIMUM_ROWS = 1_000;

    private final VmId self;
    private final EntryClock clock;
    private final Membership membership;
    private final ConfigurationStream configurationStream;
    private final ShardManager shards;
    private final FleetRateLimiter rateLimiter;
    private final OwnerContext owner;
    private final OwnerRouter router;

    EntryDump(
            VmId self,
            EntryClock clock,
            Membership membership,
            ConfigurationStream configurationStream,
            ShardManager shards,
            FleetRateLimiter rateLimiter,
            OwnerContext owner,
            OwnerRouter router) {
        this.self = self;
        this.clock = clock;
        this.membership = membership;
        this.configurationStream = configurationStream;
        this.shards = shards;
        this.rateLimiter = rateLimiter;
        this.owner = owner;
        this.router = router;
    }

    /** The complete state, for {@code quetzalshunt dump}. */
    ObjectNode all() {
        ObjectNode root = Json.object();
        root.put("vm", self.name());
        root.put("incarnation", self.incarnation());
        root.put("nowMillis", clock.now());
        root.set("configuration", configurationNode());
        root.set("vms", vms());
        root.set("shards", shardNodes());
        root.set("programs", programs());
        root.set("work", work());
        root.set("limits", limitNodes("", true));
        return root;
    }

    private ObjectNode configurationNode() {
        ObjectNode node = stream(configurationStream.session());
        node.put("complete", configurationStream.configuration().isComplete());
        node.put("status", configurationStream.status().name());
        node.put("fresh", configurationStream.status() == ConfigurationStatus.FRESH);
        node.put("highestPeerNext", configurationStream.highestPeerNext());
        node.put("ageMillis", configurationStream.freshness().ageMillis(clock.now()));
        node.put("invalidRecords", configurationStream.configuration().invalidRecords());
        return node;
    }

    private static ObjectNode stream(StreamSession session) {
        return Json.object()
                .put("stream", session.stream())
                .put("next", session.nextOffset())
                .put("backlog", session.backlogRecords())
                .put("caughtUp", session.isCaughtUp())
                .put("available", session.isAvailable());
    }

    /** The entries, with the state known to this entry, and the sidecars in the VM list. */
    ArrayNode vms() {
        ArrayNode array = Json.array();
        for (Member member : membership.entries()) {
            ObjectNode node = array.addObject();
            node.put("name", member.id().name());
            node.put("role", "entry");
            node.put("incarnation", member.id().incarnation());
            node.put("dataCentre", member.vm().dataCentre());
            node.put("alive", member.alive());
            node.put("leaving", member.leaving());
            node.put("configurationNext", member.configurationNext());
            node.put("lastHeardMillisAgo", clock.now() - member.lastHeartbeatMillis());
            ArrayNode owned = node.putArray("ownedShards");
            member.ownedShards().forEach(owned::add);
        }
        membership.sidecars().stream().limit(MAXIMUM_ROWS).forEach(vm -> array.addObject()
                .put("name", vm.name())
                .put("role", "sidecar")
                .put("dataCentre", vm.dataCentre())
                .put("service", vm.service())
                .put("linked", owner.attempts().link(vm.name()).isPresent())
                .put("leaving", vm.leaving()));
        return array;
    }

    private ArrayNode shardNodes() {
        ArrayNode array = Json.array();
        List<StreamSession> sessions = shards.sessions();
        for (Shard shard : shards.all()) {
            ObjectNode node = array.addObject();
            node.put("shard", shard.number());
            node.put("epoch", shard.epoch());
            node.put("owned", shard.isOwned());
            shard.owner().ifPresent(id -> node.put("owner", id.toString()));
            node.put("voidRecords", shard.voidRecords());
            shard.reportGauges(node::put);
            node.set("stream", stream(sessions.get(shard.number())));
        }
        return array;
    }

    private ArrayNode programs() {
        ArrayNode array = Json.array();
        shards.all().stream()
                .filter(Shard::isOwned)
                .flatMap(shard -> shard.programs().stream())
                .limit(MAXIMUM_ROWS)
                .forEach(view -> array.add(program(view)));
        return array;
    }

    /** A program as shown to its caller, with the client account added. */
    static ObjectNode program(ProgramView view) {
        return ProgramBody.toJson(view).put("clientAccount", view.clientAccount());
    }

    private ObjectNode work() {
        Scheduler scheduler = owner.workDispatcher().scheduler();
        ObjectNode node = Json.object();
        node.put("queued", scheduler.queued());
        node.put("running", scheduler.running());
        node.put("attempts", owner.attempts().running());
        node.put("turnsUnderWay", owner.chatRuns().size());
        node.put("callsUnderWay", owner.callRuns().size());
        node.put("waitingForAnOwner", router.waitingRequests());
        node.put("passedOn", router.forwardedRequests());
        node.set("endpoints", endpoints(""));
        node.set("accounts", accounts(""));
        return node;
    }

    /** Endpoints of one service, with the state known to this entry; all endpoints if the name is empty. */
    ArrayNode endpoints(String service) {
        ArrayNode array = Json.array();
        for (EndpointView view : owner.workDispatcher().scheduler().endpoints()) {
            if (service.isEmpty() || view.service().equals(service)) {
                array.addObject()
                        .put("name", view.name())
                        .put("service", view.service())
                        .put("limit", view.limit())
                        .put("inFlight", view.inFlight())
                        .put("ejected", view.ejected());
            }
        }
        return array;
    }

    /** Queues of the client accounts of one service; all accounts if the name is empty. */
    ArrayNode accounts(String service) {
        ArrayNode array = Json.array();
        for (AccountView view : owner.workDispatcher().scheduler().accounts()) {
            if (service.isEmpty() || view.service().equals(service)) {
                array.addObject()
                        .put("service", view.service())
                        .put("clientAccount", view.clientAccount())
                        .put("queued", view.queued())
                        .put("running", view.running())
                        .put("attainedTokens", view.attainedTokens());
            }
        }
        return array;
    }

    /** This entry's parts of the rate limits: those of one service, or all of them. */
    ArrayNode limitNodes(String service, boolean all) {
        ArrayNode array = Json.array();
        for (LimitStatus status : rateLimiter.limits().status(clock.now())) {
            if (all || status.key().service().equals(service)) {
                array.addObject()
                        .put("service", status.key().service())
                        .put("clientAccount", status.key().account())
                        .put("requestsPerSecond", status.requestsPerSecond())
                        .put("burst", status.burst())
                        .put("heldPartsPerMillion", status.parts())
                        .put("tokens", status.tokens())
                        .put("taken", status.taken())
                        .put("refused", status.refused());
            }
        }
        return array;
    }
}
