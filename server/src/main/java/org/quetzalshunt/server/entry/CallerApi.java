package org.quetzalshunt.server.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import org.quetzalshunt.core.configuration.CatchUpQueue;
import org.quetzalshunt.core.configuration.Configuration;
import org.quetzalshunt.core.configuration.ConfigurationStatus;
import org.quetzalshunt.core.configuration.KeyOwner;
import org.quetzalshunt.core.configuration.VersionedDocument;
import org.quetzalshunt.core.document.ServiceDocument;
import org.quetzalshunt.core.document.ServiceLimits;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.Outcome;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.server.http.PendingExchange;
import org.quetzalshunt.wire.json.Json;

/**
 * HTTP API for callers: authenticates the key against the configuration in force, checks the account's rate limit, and
 * routes the request to the owner of its shard. The routed request carries the account's name but not the key.
 */
final class CallerApi {
    private static final Pattern PROGRAM_ID = Pattern.compile("[A-Za-z0-9._-]{1,128}");
    private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[\\x21-\\x7e]{1,255}");
    private static final Pattern TURN = Pattern.compile("[1-9][0-9]{0,8}");

    private static final Refusal STOPPED_UNFINISHED = Refusal.withExecution(
            ResultCode.OUTCOME_UNKNOWN,
            Execution.UNKNOWN,
            "this VM stops; send the request again with the same idempotency key");

    private final EntryClock clock;
    private final ConfigurationStream configurationStream;
    private final RateLimiter rateLimiter;
    private final OwnerRouter router;
    private final EntryMetrics metrics;
    private final RequestIds requestIds;
    private final int shards;
    private final BooleanSupplier stopping;
    private final CatchUpQueue catchUpQueue = CatchUpQueue.create();

    CallerApi(
            EntryClock clock,
            ConfigurationStream configurationStream,
            RateLimiter rateLimiter,
            OwnerRouter router,
            EntryMetrics metrics,
            RequestIds requestIds,
            int shards,
            BooleanSupplier stopping) {
        this.clock = clock;
        this.configurationStream = configurationStream;
        this.rateLimiter = rateLimiter;
        this.router = router;
        this.metrics = metrics;
        this.requestIds = requestIds;
        this.shards = shards;
        this.stopping = stopping;
    }

    /** Whether a path belongs to this API. */
    static boolean handles(String path) {
        return path.startsWith("/v1/");
    }

    /** Continues or refuses the requests that waited until this entry has read a change of the configuration. */
    void tick() {
        catchUpQueue.tick(clock.now(), configurationStream.status());
    }

    /** Number of requests that wait until this entry has read a change of the configuration. */
    int waitingRequests() {
        return catchUpQueue.size();
    }

    /** Handles one request of a caller. */
    void handle(HttpExchange exchange) {
        String requestId = requestIds.next();
        exchange.setPending(new PendingExchange(
                requestId,
                () -> "in-progress",
                () -> CallerResponses.sendError(exchange, STOPPED_UNFINISHED, requestId)));
        boolean mayWait = !stopping.getAsBoolean()
                && configurationStream.isReady()
                && configurationStream.status() == ConfigurationStatus.CATCHING_UP;
        if (mayWait && catchUpQueue.offer(clock.now(), waitingRequest(exchange, requestId))) {
            return;
        }
        handle(exchange, requestId);
    }

    private CatchUpQueue.Request waitingRequest(HttpExchange exchange, String requestId) {
        return new CatchUpQueue.Request() {
            @Override
            public void proceed() {
                if (!exchange.finished()) {
                    handle(exchange, requestId);
                }
            }

            @Override
            public void refuse() {
                CallerApi.this.refuse(exchange, "", requestId, staleRefusal());
            }
        };
    }

    private void handle(HttpExchange exchange, String requestId) {
        Optional<Refusal> refusal = stateRefusal().or(() -> headerRefusal(exchange));
        if (refusal.isPresent()) {
            refuse(exchange, "", requestId, refusal.get());
            return;
        }
        Optional<String> keyHash = ApiKeys.hash(exchange);
        if (keyHash.isEmpty()) {
            refuse(
                    exchange,
                    "",
                    requestId,
                    Refusal.notRun(ResultCode.MISSING_KEY, "send the key as Authorization: Bearer KEY"));
            return;
        }
        if (exchange.path().equals(OwnerService.CHAT_PATH)) {
            chat(exchange, requestId, keyHash.get());
        } else if (exchange.path().startsWith(OwnerService.SERVICES_PATH)) {
            call(exchange, requestId, keyHash.get());
        } else if (exchange.path().startsWith(OwnerService.PROGRAMS_PATH)) {
            program(exchange, requestId, keyHash.get());
        } else if (exchange.path().equals("/v1/models")) {
            models(exchange, requestId, keyHash.get());
        } else {
            refuse(exchange, "", requestId, Refusal.notRun(ResultCode.UNKNOWN_PATH, "see the README"));
        }
    }

    private Optional<Refusal> stateRefusal() {
        if (stopping.getAsBoolean()) {
            return Optional.of(Refusal.notRunRetryAfter(ResultCode.STOPPING, "connect again", 1_000));
        }
        if (!configurationStream.isReady()) {
            return Optional.of(Refusal.notRunRetryAfter(ResultCode.NOT_READY, "connect again", 1_000));
        }
        if (configurationStream.status() != ConfigurationStatus.FRESH) {
            return Optional.of(staleRefusal());
        }
        return Optional.empty();
    }

    private static Refusal staleRefusal() {
        return Refusal.notRunRetryAfter(ResultCode.CONFIGURATION_STALE, "connect again", 1_000);
    }

    private static Optional<Refusal> headerRefusal(HttpExchange exchange) {
        return patternRefusal(exchange, CallerHeaders.PROGRAM, PROGRAM_ID)
                .or(() -> patternRefusal(exchange, CallerHeaders.IDEMPOTENCY_KEY, IDEMPOTENCY_KEY))
                .or(() -> patternRefusal(exchange, CallerHeaders.TURN, TURN));
    }

    private static Optional<Refusal> patternRefusal(HttpExchange exchange, String header, Pattern pattern) {
        return exchange.header(header)
                .filter(value -> !pattern.matcher(value).matches())
                .map(value -> Refusal.notRun(ResultCode.INVALID_FIELD, header + " must match " + pattern));
    }

    private void chat(HttpExchange exchange, String requestId, String keyHash) {
        if (!exchange.method().equals("POST")) {
            refuse(exchange, "", requestId, Refusal.notRun(ResultCode.METHOD_NOT_ALLOWED, "POST"));
            return;
        }
        Outcome<ChatBody> body = ChatBody.read(exchange.body());
        if (body instanceof Outcome.Failure<ChatBody> failure) {
            refuse(exchange, "", requestId, failure.refusal());
            return;
        }
        String service = body.toOptional().orElseThrow().service();
        routeToService(exchange, requestId, keyHash, service, OwnerService.CHAT_PATH);
    }

    private void call(HttpExchange exchange, String requestId, String keyHash) {
        String rest = exchange.path().substring(OwnerService.SERVICES_PATH.length());
        int slash = rest.indexOf('/');
        String service = slash < 0 ? rest : rest.substring(0, slash);
        routeToService(exchange, requestId, keyHash, service, exchange.uri());
    }

    private void routeToService(HttpExchange exchange, String requestId, String keyHash, String service, String path) {
        Configuration configuration = configurationStream.configuration();
        Optional<KeyOwner> owner = configuration.authenticate(service, keyHash);
        if (owner.isEmpty()) {
            refuse(exchange, "", requestId, unknownKeyOrService(service, keyHash));
            return;
        }
        String account = owner.get().account().name();
        ServiceLimits limits = configuration
                .document(service)
                .flatMap(VersionedDocument::document)
                .map(ServiceDocument::limits)
                .orElseGet(ServiceLimits::defaults);
        long deadline = clock.now() + limits.requestDeadlineMillis();
        OwnerRequest request = ownerRequest(exchange, requestId, account, path, deadline);
        rateLimiter.admit(
                service,
                account,
                () -> router.route(RequestShards.of(request, shards), request, exchange),
                refusal -> refuse(exchange, account, requestId, refusal));
    }

    /**
     * Reports a missing service only to holders of a valid key; any other request gets the answer for an unknown key.
     */
    private Refusal unknownKeyOrService(String service, String keyHash) {
        boolean knownKey =
                configurationStream.configuration().accountOfKey(keyHash).isPresent();
        boolean knownService =
                configurationStream.configuration().document(service).isPresent();
        return knownKey && !knownService
                ? Refusal.notRun(ResultCode.UNKNOWN_SERVICE, service)
                : Refusal.notRun(ResultCode.UNKNOWN_KEY, "the key is not valid for service " + service);
    }

    private void program(HttpExchange exchange, String requestId, String keyHash) {
        Optional<String> account = configurationStream.configuration().accountOfKey(keyHash);
        if (account.isEmpty()) {
            refuse(
                    exchange,
                    "",
                    requestId,
                    Refusal.notRun(ResultCode.UNKNOWN_KEY, "the key is not valid for any service"));
            return;
        }
        Optional<Refusal> refusal = programRefusal(exchange);
        if (refusal.isPresent()) {
            refuse(exchange, account.get(), requestId, refusal.get());
            return;
        }
        long deadline = clock.now() + ServiceLimits.defaults().requestDeadlineMillis();
        OwnerRequest request = ownerRequest(exchange, requestId, account.get(), exchange.path(), deadline);
        if (exchange.method().equals("POST")) {
            createProgram(exchange, request);
            return;
        }
        router.route(RequestShards.of(request, shards), request, exchange);
    }

    private static Optional<Refusal> programRefusal(HttpExchange exchange) {
        boolean collection = exchange.path().equals(OwnerService.PROGRAMS_PATH);
        if (collection) {
            return exchange.method().equals("POST")
                    ? Optional.empty()
                    : Optional.of(Refusal.notRun(ResultCode.METHOD_NOT_ALLOWED, "POST"));
        }
        String id = exchange.path().substring(OwnerService.PROGRAMS_PATH.length());
        if (!id.startsWith("/") || !PROGRAM_ID.matcher(id.substring(1)).matches()) {
            return Optional.of(Refusal.notRun(ResultCode.UNKNOWN_PATH, "the path must end in a program id"));
        }
        return exchange.method().equals("GET") || exchange.method().equals("DELETE")
                ? Optional.empty()
                : Optional.of(Refusal.notRun(ResultCode.METHOD_NOT_ALLOWED, "GET, DELETE"));
    }

    private void createProgram(HttpExchange exchange, OwnerRequest request) {
        Outcome<ProgramBody> body = ProgramBody.read(request.body());
        if (body instanceof Outcome.Failure<ProgramBody> failure) {
            refuse(exchange, request.clientAccount(), request.requestId(), failure.refusal());
            return;
        }
        Optional<String> parent = body.toOptional().orElseThrow().parent();
        String id = parent.orElseGet(() -> ProgramIds.root(request.clientAccount(), request.idempotencyKey()));
        OwnerRequest named = request.withHeader(CallerHeaders.PROGRAM, id);
        router.route(RequestShards.of(named, shards), named, exchange);
    }

    private void models(HttpExchange exchange, String requestId, String keyHash) {
        ObjectNode root = Json.object();
        root.put("object", "list");
        ArrayNode data = root.putArray("data");
        for (VersionedDocument document : configurationStream.configuration().documents()) {
            if (configurationStream
                    .configuration()
                    .authenticate(document.service(), keyHash)
                    .isPresent()) {
                data.addObject()
                        .put("id", document.service())
                        .put("object", "model")
                        .put("owned_by", document.team());
            }
        }
        exchange.respond(200, CallerResponses.headers(requestId, "application/json"), Json.bytes(root));
    }

    private static OwnerRequest ownerRequest(
            HttpExchange exchange, String requestId, String account, String path, long deadlineMillis) {
        Map<String, String> headers = CallerHeaders.forwarded(exchange);
        return new OwnerRequest(
                requestId, account, exchange.method(), path, headers, exchange.body(), deadlineMillis, 0);
    }

    private void refuse(HttpExchange exchange, String account, String requestId, Refusal refusal) {
        metrics.countRefusal(account, refusal);
        CallerResponses.sendError(exchange, refusal, requestId);
    }
}
