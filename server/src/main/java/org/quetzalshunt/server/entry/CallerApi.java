package org.quetzalshunt.server.entry;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.regex.Pattern;
import org.quetzalshunt.core.configuration.Configuration;
import org.quetzalshunt.core.configuration.KeyOwner;
import org.quetzalshunt.core.configuration.VersionedDocument;
import org.quetzalshunt.core.document.ServiceDocument;
import org.quetzalshunt.core.document.ServiceLimits;
import org.quetzalshunt.core.result.Outcome;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.server.http.HttpExchange;
import org.quetzalshunt.wire.json.Json;

/**
 * The callers' interface: checks the key against the configuration in force, then the rate, then passes the request to
 * the owner of its shard. From here on only the account's name goes with it.
 */
final class CallerApi {
    private static final Pattern PROGRAM_ID = Pattern.compile("[A-Za-z0-9._-]{1,128}");
    private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[\\x21-\\x7e]{1,255}");
    private static final Pattern TURN = Pattern.compile("[1-9][0-9]{0,8}");

    private final EntryClock clock;
    private final ConfigurationHost host;
    private final RateGate rates;
    private final OwnerRouter router;
    private final EntryMeasures measures;
    private final RequestIds requestIds;
    private final int shards;
    private final BooleanSupplier stopping;

    CallerApi(
            EntryClock clock,
            ConfigurationHost host,
            RateGate rates,
            OwnerRouter router,
            EntryMeasures measures,
            RequestIds requestIds,
            int shards,
            BooleanSupplier stopping) {
        this.clock = clock;
        this.host = host;
        this.rates = rates;
        this.router = router;
        this.measures = measures;
        this.requestIds = requestIds;
        this.shards = shards;
        this.stopping = stopping;
    }

    /** Whether a path is of this interface. */
    static boolean takes(String path) {
        return path.startsWith("/v1/");
    }

    /** Handles one request of a caller. */
    void handle(HttpExchange exchange) {
        String requestId = requestIds.next();
        Optional<Refusal> refusal = stateRefusal().or(() -> headerRefusal(exchange));
        if (refusal.isPresent()) {
            refuse(exchange, "", requestId, refusal.get());
            return;
        }
        Optional<String> keyHash = Keys.hash(exchange);
        if (keyHash.isEmpty()) {
            refuse(exchange, "", requestId, Refusal.notRun(ResultCode.MISSING_KEY, "send Authorization: Bearer"));
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
        if (!host.isReady()) {
            return Optional.of(Refusal.notRunRetryAfter(ResultCode.NOT_READY, "connect again", 1_000));
        }
        if (!host.isFresh()) {
            return Optional.of(Refusal.notRunRetryAfter(ResultCode.CONFIGURATION_STALE, "connect again", 1_000));
        }
        return Optional.empty();
    }

    private static Optional<Refusal> headerRefusal(HttpExchange exchange) {
        return check(exchange, CallerHeaders.PROGRAM, PROGRAM_ID)
                .or(() -> check(exchange, CallerHeaders.IDEMPOTENCY_KEY, IDEMPOTENCY_KEY))
                .or(() -> check(exchange, CallerHeaders.TURN, TURN));
    }

    private static Optional<Refusal> check(HttpExchange exchange, String header, Pattern pattern) {
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
        ofService(exchange, requestId, keyHash, service, OwnerService.CHAT_PATH);
    }

    private void call(HttpExchange exchange, String requestId, String keyHash) {
        String rest = exchange.path().substring(OwnerService.SERVICES_PATH.length());
        int slash = rest.indexOf('/');
        String service = slash < 0 ? rest : rest.substring(0, slash);
        ofService(exchange, requestId, keyHash, service, exchange.uri());
    }

    private void ofService(HttpExchange exchange, String requestId, String keyHash, String service, String path) {
        Configuration configuration = host.configuration();
        Optional<KeyOwner> owner = configuration.authenticate(service, keyHash);
        if (owner.isEmpty()) {
            refuse(exchange, "", requestId, unknown(service, keyHash));
            return;
        }
        String account = owner.get().account().name();
        ServiceLimits limits = configuration
                .document(service)
                .flatMap(VersionedDocument::document)
                .map(ServiceDocument::limits)
                .orElseGet(ServiceLimits::defaults);
        long deadline = clock.now() + limits.requestDeadlineMillis();
        OwnerRequest request = request(exchange, requestId, account, path, deadline);
        rates.admit(
                service,
                account,
                () -> router.route(RequestShards.of(request, shards), request, exchange),
                refusal -> refuse(exchange, account, requestId, refusal));
    }

    /** A key that is valid somewhere may learn that a service does not exist; any other learns nothing. */
    private Refusal unknown(String service, String keyHash) {
        boolean knownKey = host.configuration().accountOfKey(keyHash).isPresent();
        boolean knownService = host.configuration().document(service).isPresent();
        return knownKey && !knownService
                ? Refusal.notRun(ResultCode.UNKNOWN_SERVICE, service)
                : Refusal.notRun(ResultCode.UNKNOWN_KEY, "for service " + service);
    }

    private void program(HttpExchange exchange, String requestId, String keyHash) {
        Optional<String> account = host.configuration().accountOfKey(keyHash);
        if (account.isEmpty()) {
            refuse(exchange, "", requestId, Refusal.notRun(ResultCode.UNKNOWN_KEY, "for any service"));
            return;
        }
        Optional<Refusal> refusal = programRefusal(exchange);
        if (refusal.isPresent()) {
            refuse(exchange, account.get(), requestId, refusal.get());
            return;
        }
        long deadline = clock.now() + ServiceLimits.defaults().requestDeadlineMillis();
        OwnerRequest request = request(exchange, requestId, account.get(), exchange.path(), deadline);
        if (exchange.method().equals("POST")) {
            create(exchange, request);
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
            return Optional.of(Refusal.notRun(ResultCode.UNKNOWN_PATH, "a program id"));
        }
        return exchange.method().equals("GET") || exchange.method().equals("DELETE")
                ? Optional.empty()
                : Optional.of(Refusal.notRun(ResultCode.METHOD_NOT_ALLOWED, "GET, DELETE"));
    }

    private void create(HttpExchange exchange, OwnerRequest request) {
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
        for (VersionedDocument document : host.configuration().documents()) {
            if (host.configuration().authenticate(document.service(), keyHash).isPresent()) {
                data.addObject()
                        .put("id", document.service())
                        .put("object", "model")
                        .put("owned_by", document.team());
            }
        }
        exchange.respond(200, Answers.headers(requestId, "application/json"), Json.bytes(root));
    }

    private static OwnerRequest request(
            HttpExchange exchange, String requestId, String account, String path, long deadlineMillis) {
        Map<String, String> headers = CallerHeaders.passed(exchange);
        return new OwnerRequest(
                requestId, account, exchange.method(), path, headers, exchange.body(), deadlineMillis, 0);
    }

    private void refuse(HttpExchange exchange, String account, String requestId, Refusal refusal) {
        measures.refused(account, refusal);
        Answers.refuse(exchange, refusal, requestId);
    }
}
