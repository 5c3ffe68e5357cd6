package org.quetzalshunt.server.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.quetzalshunt.core.configuration.ChangeOutcome;
import org.quetzalshunt.core.configuration.ConfigurationChange;
import org.quetzalshunt.core.configuration.VersionedDocument;
import org.quetzalshunt.core.document.ServiceDocument;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.wire.document.DocumentError;
import org.quetzalshunt.wire.document.DocumentReader;
import org.quetzalshunt.wire.document.DocumentResult;
import org.quetzalshunt.wire.json.Json;

/**
 * HTTP API by which operators read and change service documents. A change is appended to the configuration stream and
 * answered only after its record has been read back and applied, so that the response states the actual result.
 */
final class AdminApi {
    static final String PREFIX = "/admin/v1/";
    private static final String SERVICES = PREFIX + "services";
    private static final String YAML = "application/yaml";

    private final EntryClock clock;
    private final ConfigurationStream configurationStream;
    private final RequestIds requestIds;
    private final Map<String, String> teamsByKeyHash;
    private final AdminStatus status;

    AdminApi(
            EntryClock clock,
            ConfigurationStream configurationStream,
            RequestIds requestIds,
            Map<String, String> teamsByKeyHash,
            AdminStatus status) {
        this.status = status;
        this.clock = clock;
        this.configurationStream = configurationStream;
        this.requestIds = requestIds;
        this.teamsByKeyHash = teamsByKeyHash;
    }

    /** Handles one request of an operator. */
    void handle(HttpExchange exchange) {
        String requestId = requestIds.next();
        Optional<String> team = teamOf(exchange);
        if (team.isEmpty()) {
            refuse(exchange, requestId, Refusal.notRun(ResultCode.UNKNOWN_KEY, "this path requires an operator key"));
            return;
        }
        if (status.handle(exchange, requestId, exchange.path().substring(PREFIX.length()))) {
            return;
        }
        if (exchange.path().equals(SERVICES) && exchange.method().equals("GET")) {
            list(exchange, requestId);
            return;
        }
        if (!exchange.path().startsWith(SERVICES + "/")) {
            refuse(exchange, requestId, Refusal.notRun(ResultCode.UNKNOWN_PATH, exchange.path()));
            return;
        }
        String service = exchange.path().substring(SERVICES.length() + 1);
        switch (exchange.method()) {
            case "GET" -> get(exchange, requestId, service);
            case "PUT" -> put(exchange, requestId, service, team.get());
            case "DELETE" -> submitChange(exchange, requestId, service, team.get(), Optional.empty(), "");
            default -> refuse(exchange, requestId, Refusal.notRun(ResultCode.METHOD_NOT_ALLOWED, "GET, PUT, DELETE"));
        }
    }

    /**
     * Returns the team of the operator key. Compares every configured hash, so that the response time does not depend
     * on the key.
     */
    Optional<String> teamOf(HttpExchange exchange) {
        Optional<String> hash = ApiKeys.hash(exchange);
        if (hash.isEmpty()) {
            return Optional.empty();
        }
        byte[] given = hash.get().getBytes(StandardCharsets.US_ASCII);
        Optional<String> team = Optional.empty();
        for (Map.Entry<String, String> entry : teamsByKeyHash.entrySet()) {
            byte[] known = entry.getKey().getBytes(StandardCharsets.US_ASCII);
            if (java.security.MessageDigest.isEqual(known, given)) {
                team = Optional.of(entry.getValue());
            }
        }
        return team;
    }

    private void list(HttpExchange exchange, String requestId) {
        ObjectNode root = Json.object();
        ArrayNode services = root.putArray("services");
        for (VersionedDocument document : configurationStream.configuration().documents()) {
            services.addObject()
                    .put("name", document.service())
                    .put("team", document.team())
                    .put("version", document.version());
        }
        exchange.respond(200, CallerResponses.headers(requestId, "application/json"), Json.bytes(root));
    }

    private void get(HttpExchange exchange, String requestId, String service) {
        Optional<VersionedDocument> document =
                configurationStream.configuration().document(service);
        if (document.isEmpty()) {
            refuse(exchange, requestId, Refusal.notRun(ResultCode.UNKNOWN_SERVICE, service));
            return;
        }
        Map<String, String> headers = new HashMap<>(CallerResponses.headers(requestId, YAML));
        headers.put("etag", etag(document.get().version()));
        exchange.respond(200, headers, document.get().sourceText().getBytes(StandardCharsets.UTF_8));
    }

    private void put(HttpExchange exchange, String requestId, String service, String team) {
        String text = new String(exchange.body(), StandardCharsets.UTF_8);
        DocumentResult result = DocumentReader.read(text);
        if (result instanceof DocumentResult.Invalid invalid) {
            sendDocumentErrors(exchange, requestId, invalid);
            return;
        }
        ServiceDocument document = ((DocumentResult.Valid) result).document();
        if (!document.name().equals(service)) {
            refuse(exchange, requestId, Refusal.notRun(ResultCode.INVALID_DOCUMENT, "service: must be " + service));
            return;
        }
        if (!document.team().equals(team)) {
            refuse(exchange, requestId, Refusal.notRun(ResultCode.NOT_THE_TEAMS_DOCUMENT, "team: " + document.team()));
            return;
        }
        if (exchange.query("dryRun").isPresent()) {
            exchange.respond(
                    200,
                    CallerResponses.headers(requestId, "application/json"),
                    Json.bytes(Json.object().put("valid", true)));
            return;
        }
        submitChange(exchange, requestId, service, team, Optional.of(document), text);
    }

    private static void sendDocumentErrors(HttpExchange exchange, String requestId, DocumentResult.Invalid invalid) {
        ObjectNode root = Json.object();
        ObjectNode error = root.putObject("error");
        error.put("code", ResultCode.INVALID_DOCUMENT.number());
        error.put("message", ResultCode.INVALID_DOCUMENT.meaning());
        error.put("execution", Execution.NOT_RUN.label());
        error.put("requestId", requestId);
        ArrayNode errors = error.putArray("errors");
        for (DocumentError problem : invalid.errors()) {
            errors.addObject()
                    .put("line", problem.line())
                    .put("path", problem.path())
                    .put("expected", problem.expected());
        }
        Map<String, String> headers = CallerResponses.headers(requestId, "application/json");
        exchange.respond(ResultCode.INVALID_DOCUMENT.status(), headers, Json.bytes(root));
    }

    private void submitChange(
            HttpExchange exchange,
            String requestId,
            String service,
            String team,
            Optional<ServiceDocument> document,
            String text) {
        Optional<VersionedDocument> current =
                configurationStream.configuration().document(service);
        if (current.isPresent() && !current.get().team().equals(team)) {
            refuse(
                    exchange,
                    requestId,
                    Refusal.notRun(
                            ResultCode.NOT_THE_TEAMS_DOCUMENT, current.get().team()));
            return;
        }
        Optional<String> ifMatch = exchange.header("if-match");
        if (current.isPresent() && ifMatch.isEmpty()) {
            refuse(
                    exchange,
                    requestId,
                    Refusal.notRun(ResultCode.PRECONDITION_REQUIRED, "the document exists; send its ETag in If-Match"));
            return;
        }
        long version = configurationStream.configuration().currentVersion(service);
        if (ifMatch.isPresent() && !ifMatch.get().equals(etag(version))) {
            refuse(exchange, requestId, versionConflict(version));
            return;
        }
        ConfigurationChange change = new ConfigurationChange.DocumentChange(
                service, version, team, team, clock.now(), requestId, document, text);
        configurationStream.submit(change, (submission, configuration) -> {
            Optional<ChangeOutcome> outcome = configuration.outcome(requestId);
            if (!submission.isFolded() || outcome.isEmpty()) {
                refuse(
                        exchange,
                        requestId,
                        Refusal.withExecution(
                                ResultCode.APPEND_UNKNOWN,
                                Execution.UNKNOWN,
                                "read the document to see whether the change was applied"));
                return;
            }
            if (!outcome.get().accepted()) {
                refuse(exchange, requestId, versionConflict(configuration.currentVersion(service)));
                return;
            }
            sendVersion(exchange, requestId, outcome.get().version());
        });
    }

    private static void sendVersion(HttpExchange exchange, String requestId, long version) {
        Map<String, String> headers = new HashMap<>(CallerResponses.headers(requestId, "application/json"));
        headers.put("etag", etag(version));
        exchange.respond(200, headers, Json.bytes(Json.object().put("version", version)));
    }

    private static Refusal versionConflict(long version) {
        return Refusal.notRun(ResultCode.VERSION_CONFLICT, "the current version is " + etag(version));
    }

    private static String etag(long version) {
        return "\"" + version + "\"";
    }

    private static void refuse(HttpExchange exchange, String requestId, Refusal refusal) {
        CallerResponses.sendError(exchange, refusal, requestId);
    }
}
