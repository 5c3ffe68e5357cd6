package org.quetzalshunt.core.program;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.log.FakeLog;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;

final class ShardTest {
    private static final String PROGRAM = "terrace";

    private final FakeLog log = new FakeLog(5);
    private final TableCodec codec = new TableCodec();
    private final ShardNode one = ShardNode.start(log, codec, "one");
    private final ShardNode two = ShardNode.start(log, codec, "two");

    private void ticks() {
        List.of(one, two).forEach(ShardNode::tick);
    }

    private void runTurn(ShardNode node, String program, String requestId) {
        node.offer(program, requestId);
        log.run(40, this::ticks);
        node.end(node.turnsStarted.get(node.turnsStarted.size() - 1), 10);
        log.run(40, this::ticks);
    }

    /**
     * Two entry processes claim the shard at the same time after its owner has failed. If both became owners, two
     * engines would run the same turn and the history would fork. Both processes must agree on one owner, by log order.
     */
    @Test
    void oneOfTwoRacingClaimsWins() {
        log.run(30, this::ticks);
        one.shard.claim(won -> {});
        two.shard.claim(won -> {});
        log.run(60, this::ticks);
        List.of(one, two).forEach(node -> node.session.requestReadToEnd(log.now()));
        log.run(60, this::ticks);
        assertThat(one.shard.isOwned()).isNotEqualTo(two.shard.isOwned());
        assertThat(one.shard.owner()).isEqualTo(two.shard.owner());
        assertThat(one.shard.epoch()).isEqualTo(two.shard.epoch());
    }

    /**
     * The owner is paused during turn 1, another process takes over and completes turn 1, and then the former owner
     * resumes and records its own result for turn 1. That record must be void, and its caller must not be told that it
     * succeeded.
     */
    @Test
    void aPausedOwnersTurnIsVoidAfterATakeover() {
        one.takeOver(this::ticks);
        one.create(PROGRAM, 10_000);
        log.run(40, this::ticks);
        one.offer(PROGRAM, "of the paused owner");
        one.transport.pause();
        two.takeOver(two::tick);
        runTurn(two, PROGRAM, "of the new owner");
        one.transport.resume();
        one.end(one.turnsStarted.get(0), 10);
        log.run(200, this::ticks);
        assertThat(one.durable).containsExactly("of the paused owner", false);
        assertThat(two.durable).containsExactly("of the new owner", true);
        assertThat(one.shard.isOwned()).isFalse();
        assertThat(two.shard.find(PROGRAM, ShardNode.ACCOUNT).map(ProgramView::turns))
                .hasValue(1);
    }

    /**
     * The owner fails after it has written a call's intent, whatever happened to that append, and the caller repeats
     * the call at the new owner. The call may have run, so it must not run again, and its outcome must be reported as
     * unknown.
     */
    @ParameterizedTest
    @EnumSource(FakeLog.AppendFault.class)
    void aCallWithAnIntentIsNeverRunAgain(FakeLog.AppendFault fault) {
        one.takeOver(this::ticks);
        log.failNextAppend(fault);
        one.call("lorry", "first");
        log.run(2_000, this::ticks);
        assertThat(one.callsStarted).hasSize(1);
        one.transport.crash();
        two.takeOver(two::tick);
        AdmissionDecision again = two.call("lorry", "second");
        log.run(100, two::tick);
        assertThat(two.callsStarted).isEmpty();
        assertThat(((AdmissionDecision.Refused) again).refusal().execution()).isEqualTo(Execution.UNKNOWN);
        assertThat(((AdmissionDecision.Refused) again).refusal().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    /**
     * The intent of a call is appended after the claim of a new owner and is therefore void. The former owner must lose
     * the shard before the call could start, so that its answer "not run" is true, and the new owner may run the call.
     */
    @Test
    void anIntentAppendedAfterATakeoverIsVoidAndItsCallDoesNotStart() {
        one.takeOver(this::ticks);
        one.transport.pause();
        two.takeOver(two::tick);
        one.call("lorry", "first");
        one.transport.resume();
        log.run(200, this::ticks);
        assertThat(one.callsStarted).isEmpty();
        assertThat(one.ownershipLosses).isEqualTo(1);
        two.call("lorry", "second");
        log.run(100, this::ticks);
        assertThat(two.callsStarted).hasSize(1);
    }

    /**
     * During a log outage a call reaches its deadline and is answered "not run", but its intent is appended when the
     * log recovers. The call must not run then, and a repeated request must be accepted.
     */
    @Test
    void aCallCancelledBeforeItsIntentNeverRunsAndMayBeRepeated() {
        one.takeOver(this::ticks);
        log.setOutage(true);
        one.call("lorry", "first");
        log.run(500, this::ticks);
        one.shard.cancelCall(ShardNode.callRequest("lorry", "first"));
        log.setOutage(false);
        log.run(10_000, this::ticks);
        assertThat(one.callsStarted).isEmpty();
        AdmissionDecision again = one.call("lorry", "second");
        log.run(200, this::ticks);
        assertThat(again).isInstanceOf(AdmissionDecision.Accepted.class);
        assertThat(one.callsStarted).hasSize(1);
    }

    /**
     * A new owner restores its state from a checkpoint, which replaces the state object. A call handler that kept using
     * the former object would never see the intent, so the call would not start. The first call must run, and a
     * repeated one must attach to it.
     */
    @Test
    void aCallRunsOnceAtAnOwnerThatStartedFromACheckpoint() {
        one.takeOver(this::ticks);
        one.create(PROGRAM, 10_000);
        log.run(40, this::ticks);
        long before = log.next();
        log.run(16_000, this::ticks);
        one.transport.crash();
        log.dropBelow(before);
        ShardNode late = ShardNode.start(log, codec, "late");
        late.takeOver(late::tick);
        late.call("renewal", "first");
        log.run(100, late::tick);
        assertThat(late.callsStarted).hasSize(1);
        assertThat(late.call("renewal", "again")).isInstanceOf(AdmissionDecision.Attach.class);
    }

    /**
     * A process that starts after retention has deleted a program's first records takes over. It must get the history
     * and the stored answers from the checkpoint, and later turns from the records after it.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aProcessStartedLateRestoresTheProgramFromTheCheckpoint(boolean turnsAfterTheCheckpoint) {
        one.takeOver(this::ticks);
        one.create(PROGRAM, 10_000);
        log.run(40, this::ticks);
        runTurn(one, PROGRAM, "first");
        runTurn(one, PROGRAM, "second");
        long before = log.next();
        log.run(16_000, this::ticks);
        assertThat(one.publisher.startedCheckpoints()).isEqualTo(1);
        if (turnsAfterTheCheckpoint) {
            runTurn(one, PROGRAM, "third");
        }
        one.transport.crash();
        log.dropBelow(before);
        ShardNode late = ShardNode.start(log, codec, "late");
        late.takeOver(late::tick);
        assertThat(late.shard.isOwned()).isTrue();
        int turns = turnsAfterTheCheckpoint ? 3 : 2;
        assertThat(late.shard.find(PROGRAM, ShardNode.ACCOUNT).map(ProgramView::turns))
                .hasValue(turns);
        assertThat(late.offer(PROGRAM, "first")).isInstanceOf(AdmissionDecision.Replay.class);
        late.offer(PROGRAM, "next");
        log.run(60, late::tick);
        assertThat(late.turnsStarted.get(0).prompt()).hasSize(2 * turns + 1);
    }

    /** Without a usable checkpoint the programs are unknown, so no process may claim the shard with an empty state. */
    @Test
    void aShardWithoutAUsableCheckpointCannotBeClaimed() {
        one.takeOver(this::ticks);
        one.create(PROGRAM, 10_000);
        log.run(40, this::ticks);
        log.dropBelow(1);
        ShardNode late = ShardNode.start(log, codec, "late");
        late.takeOver(late::tick);
        assertThat(late.shard.isComplete()).isFalse();
        assertThat(late.shard.isOwned()).isFalse();
        assertThat(late.offer(PROGRAM, "turn")).isInstanceOf(AdmissionDecision.Refused.class);
    }

    /**
     * All processes were down for longer than the log's retention, so every record and the epoch itself are gone. The
     * shard must become available again with exactly one owner, and a former owner that resumes must not remain owner.
     */
    @Test
    void aShardWhoseRecordsAllExpiredRestartsEmptyWithOneOwner() {
        one.takeOver(this::ticks);
        one.create(PROGRAM, 10_000);
        log.run(40, this::ticks);
        one.transport.pause();
        log.dropBelow(log.next());
        ShardNode late = ShardNode.start(log, codec, "late");
        ShardNode other = ShardNode.start(log, codec, "other");
        Runnable both = () -> List.of(late, other).forEach(ShardNode::tick);
        log.run(40, both);
        late.shard.claim(won -> {});
        other.shard.claim(won -> {});
        log.run(100, both);
        one.transport.resume();
        List.of(late, other, one).forEach(node -> node.session.requestReadToEnd(log.now()));
        log.run(200, () -> List.of(late, other, one).forEach(ShardNode::tick));
        assertThat(List.of(late.shard.isOwned(), other.shard.isOwned())).containsExactly(true, false);
        assertThat(one.shard.isOwned()).isFalse();
        assertThat(one.shard.epoch()).isEqualTo(late.shard.epoch());
    }

    /**
     * During a long log outage, if every sweep submitted the end of an idle program again, these records would fill the
     * backlog and turns would be refused.
     */
    @Test
    void anIdleProgramIsEndedByOneRecordDuringALogOutage() {
        one.takeOver(this::ticks);
        one.create(PROGRAM, 10_000);
        log.run(40, this::ticks);
        log.setOutage(true);
        long later = ShardSettings.defaults().programIdleMillis() + 2_000;
        for (int sweep = 0; sweep < 50; sweep++) {
            one.shard.tick(log.now() + later + sweep * 1_000L);
        }
        assertThat(one.session.backlogRecords()).isEqualTo(1);
    }

    /**
     * Guards against a root that is ended as idle, and its sub-agents with it, although it waits for a sub-agent that
     * was active lately or runs a turn.
     */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void aRootIsNotIdleWhileItsSubAgentIsActive(boolean runsTurn) {
        one.takeOver(this::ticks);
        one.create(PROGRAM, 10_000);
        log.run(60, this::ticks);
        long later = log.now() + ShardSettings.defaults().programIdleMillis() + 2_000;
        one.shard.createProgram(
                new ShardRecord.ProgramCreated(
                        one.shard.epoch(),
                        "terrace.helper",
                        ShardNode.ACCOUNT,
                        Optional.of(PROGRAM),
                        5_000,
                        100,
                        runsTurn ? log.now() : later - 1_000,
                        false,
                        "create helper"),
                outcome -> {});
        log.run(60, this::ticks);
        if (runsTurn) {
            one.offer("terrace.helper", "check stones");
            log.run(60, this::ticks);
            assertThat(one.turnsStarted).hasSize(1);
        }

        one.shard.tick(later);
        log.run(60, this::ticks);

        assertThat(one.shard.programs().stream().map(ProgramView::id).toList())
                .containsExactly(PROGRAM, "terrace.helper");
        assertThat(one.shard.programs().stream()
                        .anyMatch(program -> program.endedCode().isPresent()))
                .isFalse();
    }

    /** A turn that is refused because its reservation cannot be recorded must not block later turns of its program. */
    @Test
    void aTurnRefusedForAFullBacklogDoesNotBlockItsProgram() {
        ShardNode small = ShardNode.withMaximumBacklog(log, codec, 1);
        small.takeOver(small::tick);
        small.create(PROGRAM, 100_000);
        log.run(40, small::tick);
        log.setOutage(true);
        small.create("other", 10_000);
        small.offer(PROGRAM, "refused");
        assertThat(small.refusals.get("refused").execution()).isEqualTo(Execution.NOT_RUN);
        log.setOutage(false);
        log.run(5_000, small::tick);
        small.offer(PROGRAM, "served");
        log.run(100, small::tick);
        assertThat(small.turnsStarted).hasSize(1);
    }

    /**
     * A sub-agent is ended while its turn runs. The tokens of that turn must still be charged to the root program, and
     * no sub-agent may be created for a program that has ended.
     */
    @Test
    void aSubAgentsTokensAreChargedToItsRootEvenAfterItsEnd() {
        one.takeOver(this::ticks);
        one.create(PROGRAM, 10_000);
        log.run(60, this::ticks);
        one.create("terrace.helper", Optional.of(PROGRAM), 5_000);
        log.run(60, this::ticks);
        runTurn(one, "terrace.helper", "check stones");
        one.offer("terrace.helper", "check again");
        log.run(60, this::ticks);
        one.shard.endProgram(log.now(), "terrace.helper", ResultCode.CANCELLED, ended -> {});
        log.run(60, this::ticks);
        one.end(one.turnsStarted.get(1), 30);
        log.run(60, this::ticks);
        assertThat(one.durable).containsExactly("check stones", true, "check again", false);
        assertThat(one.shard.find(PROGRAM, ShardNode.ACCOUNT).map(ProgramView::spentTokens))
                .hasValue(40L);
        one.shard.endProgram(log.now(), PROGRAM, ResultCode.CANCELLED, ended -> {});
        one.create("terrace.late", Optional.of(PROGRAM), 5_000);
        log.run(60, this::ticks);
        assertThat(one.shard.find("terrace.late", ShardNode.ACCOUNT)).isEmpty();
    }

    /**
     * A process starts a turn, is paused during a takeover and becomes the owner again, and only then does the turn
     * end. The takeover has already charged the turn's reservation. Charging the turn again made programs exceed their
     * budget in 3 of 60 random runs.
     */
    @Test
    void aTurnOfAFormerEpochIsNotChargedTwice() {
        one.takeOver(this::ticks);
        one.create(PROGRAM, 10_000);
        log.run(40, this::ticks);
        one.offer(PROGRAM, "of the first epoch");
        one.transport.pause();
        two.takeOver(two::tick);
        one.transport.resume();
        one.takeOver(this::ticks);
        assertThat(one.shard.isOwned()).isTrue();
        one.end(one.turnsStarted.get(0), 10);
        one.shard.chargeFailedAttempt(
                one.turnsStarted.get(0), charged -> assertThat(charged).isFalse());
        log.run(100, this::ticks);
        assertThat(one.durable).containsExactly("of the first epoch", false);
        assertThat(one.shard.find(PROGRAM, ShardNode.ACCOUNT).map(ProgramView::spentTokens))
                .hasValue(ShardNode.octets("ask of the first epoch").length + 100L);
    }

    /** Only the owner may release a shard; a release by another process must be void. */
    @Test
    void aReleaseByAProcessThatIsNotTheOwnerIsVoid() {
        one.takeOver(this::ticks);
        two.session.requestReadToEnd(log.now());
        log.run(60, this::ticks);
        two.shard.release(released -> {});
        log.run(100, this::ticks);
        one.session.requestReadToEnd(log.now());
        log.run(100, this::ticks);
        assertThat(one.shard.isOwned()).isTrue();
        assertThat(one.shard.voidRecords()).isEqualTo(1);
    }
}
