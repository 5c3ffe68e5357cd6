package org.quetzalshunt.server.entry;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.IntFunction;
import org.quetzalshunt.core.document.ServiceDocument;
import org.quetzalshunt.core.document.ServiceLimits;
import org.quetzalshunt.core.program.AdmissionDecision;
import org.quetzalshunt.core.program.CallRequest;
import org.quetzalshunt.core.program.Digests;
import org.quetzalshunt.core.program.MessageMode;
import org.quetzalshunt.core.program.ProgramView;
import org.quetzalshunt.core.program.Shard;
import org.quetzalshunt.core.program.ShardListener;
import org.quetzalshunt.core.program.ShardRecord;
import org.quetzalshunt.core.program.StoredAnswer;
import org.quetzalshunt.core.program.TurnRequest;
import org.quetzalshunt.core.program.TurnStart;
import org.quetzalshunt.core.result.Outcome;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.server.http.ResponseSink;
import org.quetzalshunt.wire.json.Json;

/** Handles requests at the owner of their shard: chat completions, programs and calls of plain services. */
final class OwnerService implements ShardListener {
    static final String CHAT_PATH = "/v1/chat/completions";
    static final String PROGRAMS_PATH = "/v1/programs";
    static final String SERVICES_PATH = "/v1/services/";
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final OwnerContext owner;
    private final IntFunction<Shard> shards;
    private final PendingResponses pendingResponses;

    OwnerService(OwnerContext owner, IntFunction<Shard> shards) {
        this.owner = owner;
        this.shards = shards;
        this.pendingResponses = new PendingResponses(owner.clock());
    }

    /**
     * Handles a request routed to this entry as the owner of the shard. If this entry no longer owns the shard, the
     * request is routed to the current owner.
     */
    void handle(int shardNumber, OwnerRequest request, ResponseSink sink) {
        Shard shard = shards.apply(shardNumber);
        pendingResponses.add(request, sink);
        if (!shard.isOwned()) {
            refuse(
                    sink,
                    request,
                    Refusal.notRunRetryAfter(
                            ResultCode.NOT_OWNER,
                            "the owner of the shard changed; send the request again",
                            RETRY_AFTER_MILLIS));
            return;
        }
        if (request.path().equals(CHAT_PATH)) {
            chat(shard, request, sink);
            return;
        }
        if (request.path().startsWith(PROGRAMS_PATH)) {
            program(shard, request, sink);
            return;
        }
        call(shard, request, sink);
    }

    /** Answers the requests whose deadline has passed and which have no response yet. */
    void tick() {
        long now = owner.clock().now();
        owner.callRuns().values().stream().toList().forEach(run -> run.expire(now));
        pendingResponses.tick();
    }

    private void chat(Shard shard, OwnerRequest request, ResponseSink sink) {
        Outcome<ChatBody> read = ChatBody.read(request.body());
        if (read instanceof Outcome.Failure<ChatBody> failure) {
            refuse(sink, request, failure.refusal());
            return;
        }
        ChatBody body = read.toOptional().orElseThrow();
        Optional<ServiceDocument> document = document(body.service());
        if (document.isEmpty()) {
            refuse(sink, request, Refusal.notRun(ResultCode.UNKNOWN_SERVICE, body.service()));
            return;
        }
        ChatRun run = new ChatRun(owner, request, body, sink, shard);
        owner.chatRuns().put(request.requestId(), run);
        TurnRequest turn = turnRequest(request, body, document.get().limits());
        AdmissionDecision admission = shard.offerTurn(owner.clock().now(), turn);
        if (admission instanceof AdmissionDecision.Accepted) {
            sink.onClose(() -> {
                shard.cancelWaitingTurn(turn.program(), request.requestId());
                run.onCallerDisconnected();
            });
            return;
        }
        owner.chatRuns().remove(request.requestId());
        completeAdmission(admission, request, sink, answer -> replay(answer, body, request, sink));
    }

    private static void replay(StoredAnswer answer, ChatBody body, OwnerRequest request, ResponseSink sink) {
        if (!body.stream()) {
            CallerResponses.sendStored(sink, answer, request.requestId());
            return;
        }
        sink.begin(200, CallerResponses.headers(request.requestId(), CallerResponses.EVENT_STREAM));
        ChatCompletionAssembler.replayEvents(answer.body(), body.includeUsage()).forEach(sink::write);
        sink.end();
    }

    private TurnRequest turnRequest(OwnerRequest request, ChatBody body, ServiceLimits limits) {
        boolean implicit = request.header(CallerHeaders.PROGRAM).isEmpty();
        return new TurnRequest(
                request.requestId(),
                request.header(CallerHeaders.PROGRAM).orElseGet(() -> ProgramIds.implicit(request)),
                implicit,
                request.clientAccount(),
                expectedTurn(request),
                Optional.of(request.idempotencyKey()),
                body.digest(),
                body.messages(),
                messageMode(request),
                body.maximumTokens(),
                request.deadlineMillis(),
                limits,
                body.service());
    }

    private static OptionalInt expectedTurn(OwnerRequest request) {
        return request.header(CallerHeaders.TURN)
                .map(value -> OptionalInt.of(Integer.parseInt(value)))
                .orElse(OptionalInt.empty());
    }

    private static MessageMode messageMode(OwnerRequest request) {
        return switch (request.header(CallerHeaders.MESSAGES).orElse("")) {
            case "all" -> MessageMode.ALL;
            case "new" -> MessageMode.NEW;
            default -> MessageMode.AUTOMATIC;
        };
    }

    private void program(Shard shard, OwnerRequest request, ResponseSink sink) {
        if (request.method().equals("POST")) {
            createProgram(shard, request, sink);
            return;
        }
        String id = request.path().substring(PROGRAMS_PATH.length() + 1);
        Optional<ProgramView> found = shard.find(id, request.clientAccount());
        if (found.isEmpty()) {
            refuse(sink, request, Refusal.notRun(ResultCode.UNKNOWN_PROGRAM, id));
            return;
        }
        if (request.method().equals("GET") || found.get().endedCode().isPresent()) {
            sendProgram(sink, request, 200, found.get());
            return;
        }
        shard.endProgram(
                owner.clock().now(), id, ResultCode.OK, ended -> sendEndedProgram(ended, shard, id, request, sink));
    }

    private void sendEndedProgram(boolean ended, Shard shard, String id, OwnerRequest request, ResponseSink sink) {
        Optional<ProgramView> view = shard.find(id, request.clientAccount());
        if (!ended || view.isEmpty()) {
            refuse(
                    sink,
                    request,
                    Refusal.notRunRetryAfter(
                            ResultCode.NOT_OWNER,
                            "the owner of the shard changed; send the request again",
                            RETRY_AFTER_MILLIS));
            return;
        }
        sendProgram(sink, request, 200, view.get());
    }

    private void createProgram(Shard shard, OwnerRequest request, ResponseSink sink) {
        Outcome<ProgramBody> read = ProgramBody.read(request.body());
        if (read instanceof Outcome.Failure<ProgramBody> failure) {
            refuse(sink, request, failure.refusal());
            return;
        }
        ProgramBody body = read.toOptional().orElseThrow();
        ServiceLimits limits = ServiceLimits.defaults();
        String id = body.parent()
                .map(parent -> ProgramIds.child(parent, request))
                .orElseGet(() -> request.header(CallerHeaders.PROGRAM).orElseThrow());
        long budget = body.budgetTokens().orElse(limits.programBudgetTokens());
        ShardRecord.ProgramCreated record = new ShardRecord.ProgramCreated(
                shard.epoch(),
                id,
                request.clientAccount(),
                body.parent(),
                budget,
                Math.min(budget, Shard.defaultReservationTokens(limits)),
                owner.clock().now(),
                false,
                request.requestId());
        shard.createProgram(record, outcome -> {
            outcome.toOptional().ifPresent(view -> sendProgram(sink, request, 201, view));
            outcome.toRefusal().ifPresent(refusal -> refuse(sink, request, refusal));
        });
    }

    private void call(Shard shard, OwnerRequest request, ResponseSink sink) {
        String rest = request.path().substring(SERVICES_PATH.length());
        int slash = rest.indexOf('/');
        String service = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        Optional<ServiceDocument> document = document(service);
        if (document.isEmpty()) {
            refuse(sink, request, Refusal.notRun(ResultCode.UNKNOWN_SERVICE, service));
            return;
        }
        boolean atMostOnce =
                document.get().isNonIdempotent(request.method(), path) || request.hasCallerIdempotencyKey();
        Optional<CallRequest> call = atMostOnce
                ? Optional.of(new CallRequest(
                        request.requestId(),
                        request.clientAccount(),
                        request.idempotencyKey(),
                        service,
                        callDigest(request)))
                : Optional.empty();
        CallRun run = new CallRun(owner, request, service, path, document.get().limits(), call, sink, shard);
        owner.callRuns().put(request.requestId(), run);
        sink.onClose(run::onCallerDisconnected);
        if (call.isEmpty()) {
            run.start();
            return;
        }
        AdmissionDecision admission = shard.offerCall(owner.clock().now(), call.get());
        if (admission instanceof AdmissionDecision.Accepted) {
            return;
        }
        owner.callRuns().remove(request.requestId());
        completeAdmission(
                admission, request, sink, answer -> CallerResponses.sendStored(sink, answer, request.requestId()));
    }

    private static byte[] callDigest(OwnerRequest request) {
        byte[] line = (request.method() + ' ' + request.path() + '\n').getBytes(StandardCharsets.UTF_8);
        return Digests.sha256(line, request.body());
    }

    private void completeAdmission(
            AdmissionDecision admission,
            OwnerRequest request,
            ResponseSink sink,
            java.util.function.Consumer<StoredAnswer> onAnswer) {
        if (admission instanceof AdmissionDecision.Replay replay) {
            onAnswer.accept(replay.answer());
            return;
        }
        if (admission instanceof AdmissionDecision.Refused refused) {
            refuse(sink, request, refused.refusal());
            return;
        }
        AdmissionDecision.Attach attach = (AdmissionDecision.Attach) admission;
        owner.duplicateRequests().add(attach.requestId(), outcome -> {
            outcome.toOptional().ifPresent(onAnswer);
            outcome.toRefusal().ifPresent(refusal -> refuse(sink, request, refusal));
        });
    }

    private Optional<ServiceDocument> document(String service) {
        return owner.configuration().document(service).flatMap(versioned -> versioned.document());
    }

    private void refuse(ResponseSink sink, OwnerRequest request, Refusal refusal) {
        owner.refuse(request, sink, refusal);
    }

    private static void sendProgram(ResponseSink sink, OwnerRequest request, int status, ProgramView view) {
        ObjectNode node = ProgramBody.toJson(view);
        sink.respond(status, CallerResponses.headers(request.requestId(), "application/json"), Json.bytes(node));
    }

    @Override
    public void onTurnStart(TurnStart start) {
        ChatRun run = owner.chatRuns().get(start.request().requestId());
        if (run != null) {
            run.start(start);
        }
    }

    @Override
    public void onCallStart(CallRequest call) {
        CallRun run = owner.callRuns().get(call.requestId());
        if (run != null) {
            run.start();
        }
    }

    @Override
    public void onRefused(String requestId, Refusal refusal) {
        ChatRun run = owner.chatRuns().get(requestId);
        if (run != null) {
            run.fail(refusal);
        }
        CallRun callRun = owner.callRuns().get(requestId);
        if (callRun != null) {
            callRun.onIntentRefused(refusal);
        }
    }

    @Override
    public void onOwnershipLost(int shard) {
        owner.chatRuns().values().stream()
                .filter(run -> run.belongsTo(shard))
                .toList()
                .forEach(ChatRun::onOwnershipLost);
        owner.callRuns().values().stream()
                .filter(run -> run.belongsTo(shard))
                .toList()
                .forEach(CallRun::onOwnershipLost);
    }

    @Override
    public void onProgramEnded(String program) {
        owner.onProgramEnded(program);
    }
}
