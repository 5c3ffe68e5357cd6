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
     * Two entries see the owner vanish and claim its programs at the same moment. Were both to win, two engines would
     * run the same turn and its history would fork. The log's order makes one the owner, at both.
     */
    @Test
    void oneOfTwoRacingClaimsWins() {
        log.run(30, this::ticks);
        one.shard.claim(won -> {});
        two.shard.claim(won -> {});
        log.run(60, this::ticks);
        List.of(one, two).forEach(node -> node.session.follow(log.now()));
        log.run(60, this::ticks);
        assertThat(one.shard.isOwned()).isNotEqualTo(two.shard.isOwned());
        assertThat(one.shard.owner()).isEqualTo(two.shard.owner());
        assertThat(one.shard.epoch()).isEqualTo(two.shard.epoch());
    }

    /**
     * The owner stands still in the middle of a turn; another entry takes over and ends the program's next turn. Then
     * the former owner goes on and records the end of its own. Both would be turn 1: the second must not count, and its
     * caller must not be told that it did.
     */
    @Test
    void aPausedOwnersTurnDoesNotCountAfterATakeover() {
        one.takeOver(this::ticks);
        one.create(PROGRAM, 10_000);
        log.run(40, this::ticks);
        one.offer(PROGRAM, "of the paused owner");
        one.line.pause();
        two.takeOver(two::tick);
        runTurn(two, PROGRAM, "of the new owner");
        one.line.resume();
        one.end(one.turnsStarted.get(0), 10);
        log.run(200, this::ticks);
        assertThat(one.durable).containsExactly("of the paused owner", false);
        assertThat(two.durable).containsExactly("of the new owner", true);
        assertThat(one.shard.isOwned()).isFalse();
        assertThat(two.shard.find(PROGRAM, ShardNode.ACCOUNT).map(ProgramView::turns))
                .hasValue(1);
    }

    /**
     * A cooperative orders a lorry. The owner writes the intent and dies, stands still, or loses the answer around it;
     * the order comes again by another entry. Wherever the intent came before the takeover the lorry may be on its way:
     * the second must not be sent, and the caller must hear that nobody knows.
     */
    @ParameterizedTest
    @EnumSource(FakeLog.AppendFault.class)
    void aCallWithAnIntentIsNeverRunAgain(FakeLog.AppendFault fault) {
        one.takeOver(this::ticks);
        log.failNextAppend(fault);
        one.call("lorry", "first");
        log.run(2_000, this::ticks);
        assertThat(one.callsStarted).hasSize(1);
        one.line.cut();
        two.takeOver(two::tick);
        Admission again = two.call("lorry", "second");
        log.run(100, two::tick);
        assertThat(two.callsStarted).isEmpty();
        assertThat(((Admission.Refused) again).refusal().execution()).isEqualTo(Execution.UNKNOWN);
        assertThat(((Admission.Refused) again).refusal().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    /**
     * The intent comes behind the claim of a new owner: it is void. The former owner's host hears that the shard is lost
     * before the call could start, so that its "not run" is true, and the new owner may run the call.
     */
    @Test
    void anIntentBehindATakeoverIsVoidAndItsCallDoesNotStart() {
        one.takeOver(this::ticks);
        one.line.pause();
        two.takeOver(two::tick);
        one.call("lorry", "first");
        one.line.resume();
        log.run(200, this::ticks);
        assertThat(one.callsStarted).isEmpty();
        assertThat(one.timesLost).isEqualTo(1);
        two.call("lorry", "second");
        log.run(100, this::ticks);
        assertThat(two.callsStarted).hasSize(1);
    }

    /**
     * The log is down when a cooperative orders its lorry. At its deadline the caller hears "not run"; later the log is
     * back and holds the intent after all. The lorry must not be sent then, and the same order may be placed again.
     */
    @Test
    void aCallWithdrawnBeforeItsIntentNeverRunsAndMayBeSentAgain() {
        one.takeOver(this::ticks);
        log.setOutage(true);
        one.call("lorry", "first");
        log.run(500, this::ticks);
        one.shard.withdrawCall(ShardNode.callRequest("lorry", "first"));
        log.setOutage(false);
        log.run(10_000, this::ticks);
        assertThat(one.callsStarted).isEmpty();
        Admission again = one.call("lorry", "second");
        log.run(200, this::ticks);
        assertThat(again).isInstanceOf(Admission.Accepted.class);
        assertThat(one.callsStarted).hasSize(1);
    }

    /**
     * Retention passed over a shard's records and a new entry took it from the checkpoint. A parent renews, then sends
     * the renewal again: the first must run, and the second must hear of it. A call that looked at the state of before
     * the checkpoint would never start.
     */
    @Test
    void aCallRunsOnceAtAnOwnerThatStartedFromACheckpoint() {
        one.takeOver(this::ticks);
        one.create(PROGRAM, 10_000);
        log.run(40, this::ticks);
        long before = log.next();
        log.run(16_000, this::ticks);
        one.line.cut();
        log.dropBelow(before);
        ShardNode late = ShardNode.start(log, codec, "late");
        late.takeOver(late::tick);
        late.call("renewal", "first");
        log.run(100, late::tick);
        assertThat(late.callsStarted).hasSize(1);
        assertThat(late.call("renewal", "again")).isInstanceOf(Admission.Attach.class);
    }

    /**
     * A program began yesterday; the log keeps an hour. Its owner dies and an entry that started today takes over. It
     * has never seen the first turns: it must have them from the checkpoint, with the answers for re-sends.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aLateStarterHasTheWholeProgramFromTheCheckpoint(boolean turnsAfterTheCheckpoint) {
        one.takeOver(this::ticks);
        one.create(PROGRAM, 10_000);
        log.run(40, this::ticks);
        runTurn(one, PROGRAM, "first");
        runTurn(one, PROGRAM, "second");
        long before = log.next();
        log.run(16_000, this::ticks);
        assertThat(one.publisher.published()).isEqualTo(1);
        if (turnsAfterTheCheckpoint) {
            runTurn(one, PROGRAM, "third");
        }
        one.line.cut();
        log.dropBelow(before);
        ShardNode late = ShardNode.start(log, codec, "late");
        late.takeOver(late::tick);
        assertThat(late.shard.isOwned()).isTrue();
        int turns = turnsAfterTheCheckpoint ? 3 : 2;
        assertThat(late.shard.find(PROGRAM, ShardNode.ACCOUNT).map(ProgramView::turns))
                .hasValue(turns);
        assertThat(late.offer(PROGRAM, "first")).isInstanceOf(Admission.Replay.class);
        late.offer(PROGRAM, "next");
        log.run(60, late::tick);
        assertThat(late.turnsStarted.get(0).prompt()).hasSize(2 * turns + 1);
    }

    /** Without a usable checkpoint nothing is known of the programs: nobody may own the shard and start afresh. */
    @Test
    void aShardWithoutAUsableCheckpointIsNotTaken() {
        one.takeOver(this::ticks);
        one.create(PROGRAM, 10_000);
        log.run(40, this::ticks);
        log.dropBelow(1);
        ShardNode late = ShardNode.start(log, codec, "late");
        late.takeOver(late::tick);
        assertThat(late.shard.complete()).isFalse();
        assertThat(late.shard.isOwned()).isFalse();
        assertThat(late.offer(PROGRAM, "turn")).isInstanceOf(Admission.Refused.class);
    }

    /**
     * Every entry was down for longer than the log keeps records, so nothing is kept, not even the epoch. The shard must
     * come back, with one owner, and an owner of before that wakes now must see that it is none.
     */
    @Test
    void aShardOfWhichNothingIsKeptStartsAfreshWithOneOwner() {
        one.takeOver(this::ticks);
        one.create(PROGRAM, 10_000);
        log.run(40, this::ticks);
        one.line.pause();
        log.dropBelow(log.next());
        ShardNode late = ShardNode.start(log, codec, "late");
        ShardNode other = ShardNode.start(log, codec, "other");
        Runnable both = () -> List.of(late, other).forEach(ShardNode::tick);
        log.run(40, both);
        late.shard.claim(won -> {});
        other.shard.claim(won -> {});
        log.run(100, both);
        one.line.resume();
        List.of(late, other, one).forEach(node -> node.session.follow(log.now()));
        log.run(200, () -> List.of(late, other, one).forEach(ShardNode::tick));
        assertThat(List.of(late.shard.isOwned(), other.shard.isOwned())).containsExactly(true, false);
        assertThat(one.shard.isOwned()).isFalse();
        assertThat(one.shard.epoch()).isEqualTo(late.shard.epoch());
    }

    /**
     * The log is down for long while many programs lie idle. If each sweep handed in the end of each program again, the
     * backlog would be full of them, and turns would be refused that could have waited.
     */
    @Test
    void anIdleProgramIsEndedByOneRecord() {
        one.takeOver(this::ticks);
        one.create(PROGRAM, 10_000);
        log.run(40, this::ticks);
        log.setOutage(true);
        long later = ShardSettings.defaults().programIdleMillis() + 2_000;
        for (int sweep = 0; sweep < 50; sweep++) {
            one.shard.tick(log.now() + later + sweep * 1_000L);
        }
        assertThat(one.session.backlog()).isEqualTo(1);
    }

    /** A turn whose reservation cannot be recorded is refused, and must not leave its program blocked for good. */
    @Test
    void aTurnRefusedForAFullBacklogLeavesItsProgramFree() {
        ShardNode small = ShardNode.withBacklogOf(log, codec, 1);
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
     * A planning group's program calls a helper, and is ended while the helper's turn runs. What the helper spent is
     * the root's spending all the same, and no helper may be made for a program that has ended.
     */
    @Test
    void aSubAgentsSpendingIsItsRootsEvenAfterTheEnd() {
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
     * An entry starts a turn, stands still past a takeover, and becomes the owner again; only then does the turn of its
     * former epoch end. The takeover has charged what the turn may have cost. Charged again, the program would pass its
     * budget, as three of sixty random runs showed.
     */
    @Test
    void aTurnOfAFormerEpochIsNotChargedTwice() {
        one.takeOver(this::ticks);
        one.create(PROGRAM, 10_000);
        log.run(40, this::ticks);
        one.offer(PROGRAM, "of the first epoch");
        one.line.pause();
        two.takeOver(two::tick);
        one.line.resume();
        one.takeOver(this::ticks);
        assertThat(one.shard.isOwned()).isTrue();
        one.end(one.turnsStarted.get(0), 10);
        one.shard.chargeLostAttempt(
                one.turnsStarted.get(0), charged -> assertThat(charged).isFalse());
        log.run(100, this::ticks);
        assertThat(one.durable).containsExactly("of the first epoch", false);
        assertThat(one.shard.find(PROGRAM, ShardNode.ACCOUNT).map(ProgramView::spentTokens))
                .hasValue(ShardNode.octets("ask of the first epoch").length + 100L);
    }

    /** Only the owner gives a shard up; a release by anybody else is void. */
    @Test
    void aReleaseByAnotherIsVoid() {
        one.takeOver(this::ticks);
        two.session.follow(log.now());
        log.run(60, this::ticks);
        two.shard.release(released -> {});
        log.run(100, this::ticks);
        one.session.follow(log.now());
        log.run(100, this::ticks);
        assertThat(one.shard.isOwned()).isTrue();
        assertThat(one.shard.voidRecords()).isEqualTo(1);
    }
}
