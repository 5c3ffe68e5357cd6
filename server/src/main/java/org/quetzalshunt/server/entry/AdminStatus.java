package org.quetzalshunt.server.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.quetzalshunt.core.configuration.Configuration;
import org.quetzalshunt.core.configuration.VersionedDocument;
import org.quetzalshunt.core.membership.Member;
import org.quetzalshunt.core.membership.Membership;
import org.quetzalshunt.core.program.ProgramView;
import org.quetzalshunt.core.program.Shard;
import org.quetzalshunt.core.program.ShardNumbers;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.wire.json.Json;

/** Read-only status views for operators: services, VMs, programs and the state dump. */
final class AdminStatus {
    private static final String STATUS = "/status";
    private static final String HISTORY = "/history";
    private static final String PROGRAMS = "programs/";

    private final Configuration configuration;
    private final Membership membership;
    private final ShardManager shards;
    private final EntryDump dump;

    AdminStatus(Configuration configuration, Membership membership, ShardManager shards, EntryDump dump) {
        this.configuration = configuration;
        this.membership = membership;
        this.shards = shards;
        this.dump = dump;
    }

    /** Handles a GET of a path below the admin prefix; returns false if the path is not a status view. */
    boolean handle(HttpExchange exchange, String requestId, String path) {
        if (!exchange.method().equals("GET")) {
            return false;
        }
        if (path.equals("vms")) {
            sendJson(exchange, requestId, Json.object().set("vms", dump.vms()));
        } else if (path.equals("dump")) {
            sendJson(exchange, requestId, dump.all());
        } else if (path.startsWith(PROGRAMS)) {
            program(exchange, requestId, path.substring(PROGRAMS.length()));
        } else if (path.startsWith("services/") && path.endsWith(STATUS)) {
            status(exchange, requestId, serviceName(path, STATUS));
        } else if (path.startsWith("services/") && path.endsWith(HISTORY)) {
            history(exchange, requestId, serviceName(path, HISTORY));
        } else {
            return false;
        }
        return true;
    }

    private static String serviceName(String path, String suffix) {
        return path.substring("services/".length(), path.length() - suffix.length());
    }

    private void program(HttpExchange exchange, String requestId, String id) {
        Shard shard = shards.shard(ShardNumbers.ofProgram(id, shards.count()));
        if (!shard.isOwned()) {
            String owner = shards.ownerOf(shard.number()).orElse("no entry at present");
            refuse(exchange, requestId, Refusal.notRun(ResultCode.NOT_OWNER, "the shard is owned by " + owner));
            return;
        }
        Optional<ProgramView> view =
                shard.programs().stream().filter(found -> found.id().equals(id)).findFirst();
        if (view.isEmpty()) {
            refuse(exchange, requestId, Refusal.notRun(ResultCode.UNKNOWN_PROGRAM, id));
            return;
        }
        sendJson(exchange, requestId, EntryDump.program(view.get()).put("shard", shard.number()));
    }

    private void status(HttpExchange exchange, String requestId, String service) {
        Optional<VersionedDocument> document = configuration.document(service);
        if (document.isEmpty()) {
            refuse(exchange, requestId, Refusal.notRun(ResultCode.UNKNOWN_SERVICE, service));
            return;
        }
        ObjectNode node = Json.object();
        node.put("service", service);
        node.put("team", document.get().team());
        node.put("version", document.get().version());
        node.put("author", document.get().author());
        ArrayNode inForce = node.putArray("inForce");
        for (Member member : membership.entries()) {
            inForce.addObject()
                    .put("vm", member.id().name())
                    .put("alive", member.alive())
                    .put("inForce", member.configurationNext() > document.get().version());
        }
        node.set("endpoints", dump.endpoints(service));
        node.set("accounts", dump.accounts(service));
        node.set("limits", dump.limitNodes(service, false));
        sendJson(exchange, requestId, node);
    }

    private void history(HttpExchange exchange, String requestId, String service) {
        ObjectNode node = Json.object();
        ArrayNode versions = node.putArray("versions");
        for (VersionedDocument version : configuration.history(service)) {
            versions.addObject()
                    .put("version", version.version())
                    .put("author", version.author())
                    .put("putMillis", version.putMillis())
                    .put("removed", version.isRemoved());
        }
        sendJson(exchange, requestId, node);
    }

    private static void sendJson(
            HttpExchange exchange, String requestId, com.fasterxml.jackson.databind.JsonNode node) {
        exchange.respond(200, CallerResponses.headers(requestId, "application/json"), Json.bytes(node));
    }

    private static void refuse(HttpExchange exchange, String requestId, Refusal refusal) {
        CallerResponses.sendError(exchange, refusal, requestId);
    }
}
