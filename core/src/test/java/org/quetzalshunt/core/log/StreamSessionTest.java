package org.quetzalshunt.core.log;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

final class StreamSessionTest {
    private final FakeLog log = new FakeLog(7);

    @Test
    void foldsItsOwnRecordsWithoutReadingThemBack() {
        SessionNode node = SessionNode.start(log, "a#1", StreamSettings.onDemand(10, 1));
        log.run(20, node::tick);
        int reads = log.reads();
        node.submit("one");
        log.run(20, node::tick);
        node.submit("two");
        log.run(20, node::tick);
        assertThat(node.fold.places).containsExactly("0/0 one", "1/0 two").inOrder();
        assertThat(node.heard).containsEntry("two", Submission.folded(1));
        assertThat(log.reads()).isEqualTo(reads);
    }

    @ParameterizedTest
    @CsvSource({"10", "100"})
    void appendsDoNotGrowWithRecords(int recordsPerHundredMillis) {
        SessionNode node = SessionNode.start(log, "a#1", StreamSettings.onDemand(50, 1));
        log.run(20, node::tick);
        for (int round = 0; round < 10; round++) {
            for (int record = 0; record < recordsPerHundredMillis; record++) {
                node.submit(round + "." + record);
            }
            log.run(100, node::tick);
        }
        assertThat(node.fold.records).hasSize(10 * recordsPerHundredMillis);
        assertThat(log.appends()).isAtMost(20);
    }

    /**
     * A librarian's issue is recorded, but the log's answer is lost on its way, or the append itself is, or it takes
     * effect long after its sender gave up, or twice. The process cannot tell these apart. Appending blindly would
     * post the issue twice, giving up would lose it: each must come to one record at all readers.
     */
    @ParameterizedTest
    @EnumSource(FakeLog.AppendFault.class)
    void aRecordIsFoldedOnceWhateverBecomesOfItsAppend(FakeLog.AppendFault fault) {
        SessionNode node = SessionNode.tailing(log, "a#1");
        SessionNode reader = SessionNode.tailing(log, "b#1");
        Runnable ticks = () -> List.of(node, reader).forEach(SessionNode::tick);
        log.run(20, ticks);
        log.failNextAppend(fault);
        node.submit("issue");
        log.run(10, ticks);
        node.submit("next issue");
        log.run(4_000, ticks);
        assertThat(reader.fold.records).containsExactly("issue", "next issue").inOrder();
        assertThat(node.fold.places).isEqualTo(reader.fold.places);
        assertThat(node.heard.values().stream().allMatch(Submission::isFolded)).isTrue();
        assertThat(node.session.backlog()).isEqualTo(0);
    }

    /**
     * An entry stands still, say under memory pressure, for longer than the log keeps records. When it goes on, the log
     * answers with later records than it asked for. Folding them on the old state would bring back old versions: the
     * fold must hear of the gap before the next record.
     */
    @Test
    void aStoppedReaderHearsOfTheGap() {
        SessionNode stopped = SessionNode.tailing(log, "a#1");
        SessionNode other = SessionNode.tailing(log, "b#1");
        log.run(20, stopped::tick);
        other.submit("seen by both");
        log.run(50, () -> List.of(stopped, other).forEach(SessionNode::tick));
        stopped.line.pause();
        for (int record = 0; record < 5; record++) {
            other.submit("record " + record);
            log.run(30, other::tick);
        }
        log.dropBelow(4);
        stopped.line.resume();
        log.run(1_500, stopped::tick);
        assertThat(stopped.fold.gaps).containsExactly(4L);
        assertThat(stopped.session.next()).isEqualTo(log.next());
        assertThat(stopped.session.firstKept()).isEqualTo(4);
    }

    /**
     * The answer of an append is lost and the process then stands still until the log has dropped the place where the
     * batch lay or would have lain. Nobody can say any more whether it is in the log; a second append could run a call
     * twice. The caller must hear that the outcome is unknown.
     */
    @Test
    void anAppendWhoseAnswerAndPlaceAreGoneIsSaidToBeUnresolved() {
        SessionNode node = SessionNode.start(log, "a#1", StreamSettings.onDemand(10, 1));
        log.run(20, node::tick);
        log.failNextAppend(FakeLog.AppendFault.ANSWER_LOST);
        node.submit("call");
        log.run(8, () -> {});
        log.take(BatchFrame.encode(new Batch("b#1", 1, 1, List.of("other".getBytes(StandardCharsets.UTF_8)))));
        log.dropBelow(1);
        log.run(500, node::tick);
        assertThat(node.heard).containsExactly("call", Submission.unresolved());
        assertThat(node.fold.records).containsExactly("other");
    }

    /**
     * A process wakes after an hour in which the log grew by tens of thousands of records, and appends a batch made
     * before. Readers forget writers after a while, so a batch so late is void at all of them; its writer must find
     * that out and bring the records in under a new number, once.
     */
    @Test
    void aBatchThatLandsTooLateToCountIsAppendedAnew() {
        SessionNode node = SessionNode.start(log, "a#1", StreamSettings.onDemand(10, 1));
        log.run(20, node::tick);
        LongStream.rangeClosed(0, WriterTable.HORIZON).forEach(ignored -> log.take(new byte[] {9}));
        node.submit("late");
        log.run(20_000, node::tick);
        assertThat(node.fold.records).containsExactly("late");
        assertThat(node.heard.get("late").isFolded()).isTrue();
        assertThat(node.fold.malformed).hasSize((int) WriterTable.HORIZON + 1);
    }

    /**
     * The log is down for ten seconds while records go on coming. Memory must stay bounded, so that what does not fit is
     * refused at once and truly never recorded; the log must not be hammered; and all that was taken is recorded after.
     */
    @Test
    void anOutageIsSatOutWithABoundedBacklogAndFewCalls() {
        StreamSettings settings = new StreamSettings(10, true, 100, 1_000, 20, 1_000_000, 3);
        SessionNode node = SessionNode.start(log, "a#1", settings);
        log.run(20, node::tick);
        log.setOutage(true);
        for (int record = 0; record < 30; record++) {
            node.submit("record " + record);
        }
        int callsBefore = log.appends() + log.reads();
        log.run(10_000, node::tick);
        assertThat(node.session.available()).isFalse();
        assertThat(log.appends() + log.reads() - callsBefore).isAtMost(60);
        log.setOutage(false);
        log.run(5_000, node::tick);
        assertThat(node.fold.records).hasSize(20);
        assertThat(node.heard.values().stream().filter(Submission::isFolded)).hasSize(20);
        assertThat(node.heard).containsEntry("record 29", Submission.rejectedBacklogFull());
        assertThat(node.session.available()).isTrue();
    }

    @Test
    void followingCountsOnlyAReadThatStartsAfterwards() {
        SessionNode node = SessionNode.tailing(log, "a#1");
        log.run(30, node::tick);
        assertThat(node.session.caughtUp()).isTrue();
        node.session.follow(log.now());
        assertThat(node.session.caughtUp()).isFalse();
        log.run(1_100, node::tick);
        assertThat(node.session.caughtUp()).isTrue();
        assertThat(node.session.lastReadMillis().getAsLong()).isLessThan(log.now());
    }

    @Test
    void aRecordThatNoBatchHoldsIsRefused() {
        SessionNode node = SessionNode.start(log, "a#1", new StreamSettings(10, true, 100, 100, 20, 1_000_000, 3));
        node.submit("x".repeat(100));
        assertThat(node.heard.values()).containsExactly(Submission.rejectedTooLarge());
    }

    @ParameterizedTest
    @CsvSource({"1,1,5", "3,1,15", "3,8,120", "330,1,1650"})
    void commitIntervalsKeepTheFleetUnderItsTarget(int nodes, int streams, long interval) {
        assertThat(CommitInterval.forNodes(nodes, streams)).isEqualTo(interval);
    }
}
