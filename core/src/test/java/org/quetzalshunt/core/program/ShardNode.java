package org.quetzalshunt.core.program;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import org.quetzalshunt.core.document.ServiceLimits;
import org.quetzalshunt.core.log.CheckpointSchedule;
import org.quetzalshunt.core.log.FakeLog;
import org.quetzalshunt.core.log.StreamSession;
import org.quetzalshunt.core.log.StreamSettings;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.vm.VmId;

/**
 * Test fixture: an entry process with one shard on a {@link FakeLog}. Started turns and calls are recorded, and the
 * test completes them.
 */
final class ShardNode implements ShardListener {
    static final String ACCOUNT = "arusha";

    final VmId id;
    final FakeLog.Transport transport;
    final StreamSession session;
    final Shard shard;
    final ShardCheckpointPublisher publisher;
    final List<TurnStart> turnsStarted = new ArrayList<>();
    final List<CallRequest> callsStarted = new ArrayList<>();
    final Map<String, Refusal> refusals = new HashMap<>();
    final Map<String, Boolean> durable = new HashMap<>();
    int ownershipLosses;
    private final FakeLog log;

    private ShardNode(FakeLog log, ShardRecordCodec codec, String name, long incarnation, StreamSettings settings) {
        this.log = log;
        id = VmId.of(name, incarnation);
        transport = log.transport();
        shard = Shard.create(0, id, ShardSettings.defaults(), codec, this::submit, this);
        session = StreamSession.create("shard-0", settings, id.toString(), transport, shard);
        transport.attach(session);
        publisher = ShardCheckpointPublisher.create(
                shard, session, CheckpointSchedule.create(60_000, id.toString().hashCode()));
    }

    static ShardNode start(FakeLog log, ShardRecordCodec codec, String name) {
        return start(log, codec, name, 1);
    }

    static ShardNode start(FakeLog log, ShardRecordCodec codec, String name, long incarnation) {
        return new ShardNode(log, codec, name, incarnation, StreamSettings.onDemand(5, name.hashCode()));
    }

    static ShardNode withMaximumBacklog(FakeLog log, ShardRecordCodec codec, int records) {
        return new ShardNode(log, codec, "small", 1, new StreamSettings(5, false, 0, 10_000, records, 10_000, 1));
    }

    private void submit(byte[] record, java.util.function.Consumer<Boolean> whenFolded) {
        session.submit(log.now(), record, submission -> whenFolded.accept(submission.isFolded()));
    }

    void tick() {
        session.tick(log.now());
        shard.tick(log.now());
        publisher.tick(log.now());
    }

    /** Reads the stream to its end and claims the shard. */
    void takeOver(Runnable ticks) {
        session.requestReadToEnd(log.now());
        log.run(60, ticks);
        shard.claim(won -> {});
        log.run(60, ticks);
    }

    void create(String program, long budget) {
        create(program, Optional.empty(), budget);
    }

    void create(String program, Optional<String> parent, long budget) {
        shard.createProgram(
                new ShardRecord.ProgramCreated(
                        shard.epoch(), program, ACCOUNT, parent, budget, 100, log.now(), false, "create " + program),
                outcome -> {});
    }

    AdmissionDecision offer(String program, String requestId) {
        List<byte[]> messages = List.of(octets("ask " + requestId));
        ServiceLimits limits = ServiceLimits.defaults();
        return shard.offerTurn(
                log.now(),
                new TurnRequest(
                        requestId,
                        program,
                        false,
                        ACCOUNT,
                        OptionalInt.empty(),
                        Optional.of("key " + requestId),
                        octets(requestId),
                        messages,
                        MessageMode.NEW,
                        100,
                        Long.MAX_VALUE,
                        limits,
                        "tutor"));
    }

    /** Ends a started turn that generated a number of tokens. */
    void end(TurnStart start, long tokens) {
        String requestId = start.request().requestId();
        byte[] answer = octets("answer " + requestId);
        TokenUsage usage = new TokenUsage(start.contextTokens(), 0, tokens);
        TurnResult result = new TurnResult(answer, new StoredAnswer(200, "text/plain", answer), usage);
        shard.endTurn(log.now(), start, result, isDurable -> durable.put(requestId, isDurable));
    }

    AdmissionDecision call(String key, String requestId) {
        return shard.offerCall(log.now(), callRequest(key, requestId));
    }

    static CallRequest callRequest(String key, String requestId) {
        return new CallRequest(requestId, ACCOUNT, key, "learner-app", octets("POST /orders"));
    }

    static byte[] octets(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void onTurnStart(TurnStart start) {
        turnsStarted.add(start);
    }

    @Override
    public void onCallStart(CallRequest call) {
        callsStarted.add(call);
    }

    @Override
    public void onRefused(String requestId, Refusal refusal) {
        refusals.put(requestId, refusal);
    }

    @Override
    public void onOwnershipLost(int number) {
        ownershipLosses++;
    }

    @Override
    public void onProgramEnded(String program) {}
}
