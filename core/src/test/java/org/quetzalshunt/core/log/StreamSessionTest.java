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
        assertThat(node.fold.positions).containsExactly("0/0 one", "1/0 two").inOrder();
        assertThat(node.outcomes).containsEntry("two", Submission.folded(1));
        assertThat(log.reads()).isEqualTo(reads);
    }

    @ParameterizedTest
    @CsvSource({"10", "100"})
    void theNumberOfAppendsDoesNotGrowWithTheNumberOfRecords(int recordsPerHundredMillis) {
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
     * An append or its answer is lost, or the append takes effect late or twice, and the writer cannot tell which. A
     * blind retry would duplicate the record and no retry would lose it. All readers must apply it exactly once.
     */
    @ParameterizedTest
    @EnumSource(FakeLog.AppendFault.class)
    void aRecordIsFoldedOnceWhateverFaultItsAppendHas(FakeLog.AppendFault fault) {
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
        assertThat(node.fold.positions).isEqualTo(reader.fold.positions);
        assertThat(node.outcomes.values().stream().allMatch(Submission::isFolded))
                .isTrue();
        assertThat(node.session.backlogRecords()).isEqualTo(0);
    }

    /**
     * A reader is paused for longer than the log's retention. When it resumes, the log returns later records than
     * requested. Applying them to the old state would give a wrong state, so the gap must be reported to the state
     * machine first.
     */
    @Test
    void aGapIsReportedToAReaderPausedBeyondRetention() {
        SessionNode paused = SessionNode.tailing(log, "a#1");
        SessionNode other = SessionNode.tailing(log, "b#1");
        log.run(20, paused::tick);
        other.submit("seen by both");
        log.run(50, () -> List.of(paused, other).forEach(SessionNode::tick));
        paused.transport.pause();
        for (int record = 0; record < 5; record++) {
            other.submit("record " + record);
            log.run(30, other::tick);
        }
        log.dropBelow(4);
        paused.transport.resume();
        log.run(1_500, paused::tick);
        assertThat(paused.fold.gaps).containsExactly(4L);
        assertThat(paused.session.nextOffset()).isEqualTo(log.next());
        assertThat(paused.session.firstKept()).isEqualTo(4);
    }

    /**
     * The answer of an append is lost, and the log deletes the offsets where the batch may have been before the process
     * has read them. A second append could run a call twice, so the outcome must be reported as unresolved.
     */
    @Test
    void anAppendWithLostAnswerAndDeletedOffsetIsUnresolved() {
        SessionNode node = SessionNode.start(log, "a#1", StreamSettings.onDemand(10, 1));
        log.run(20, node::tick);
        log.failNextAppend(FakeLog.AppendFault.ANSWER_LOST);
        node.submit("call");
        log.run(8, () -> {});
        log.store(BatchFrame.encode(new Batch("b#1", 1, 1, List.of("other".getBytes(StandardCharsets.UTF_8)))));
        log.dropBelow(1);
        log.run(500, node::tick);
        assertThat(node.outcomes).containsExactly("call", Submission.unresolved());
        assertThat(node.fold.records).containsExactly("other");
    }

    /**
     * A batch is appended after tens of thousands of records that its writer has not read. It is void, because readers
     * no longer track writers for duplicates that far back. The writer must detect this and append the records once
     * more, under a new sequence number.
     */
    @Test
    void aBatchAppendedTooLateIsAppendedAgainUnderANewSequenceNumber() {
        SessionNode node = SessionNode.start(log, "a#1", StreamSettings.onDemand(10, 1));
        log.run(20, node::tick);
        LongStream.rangeClosed(0, BatchDeduplicator.MAXIMUM_AGE_OFFSETS).forEach(ignored -> log.store(new byte[] {9}));
        node.submit("late");
        log.run(20_000, node::tick);
        assertThat(node.fold.records).containsExactly("late");
        assertThat(node.outcomes.get("late").isFolded()).isTrue();
        assertThat(node.fold.malformed).hasSize((int) BatchDeduplicator.MAXIMUM_AGE_OFFSETS + 1);
    }

    /**
     * The log is down for ten seconds while records are submitted. The backlog must stay bounded, rejected records must
     * never be recorded, retries must be limited, and all accepted records must be recorded afterwards.
     */
    @Test
    void anOutageIsSurvivedWithABoundedBacklogAndFewCalls() {
        StreamSettings settings = new StreamSettings(10, true, 100, 1_000, 20, 1_000_000, 3);
        SessionNode node = SessionNode.start(log, "a#1", settings);
        log.run(20, node::tick);
        log.setOutage(true);
        for (int record = 0; record < 30; record++) {
            node.submit("record " + record);
        }
        int callsBefore = log.appends() + log.reads();
        log.run(10_000, node::tick);
        assertThat(node.session.isAvailable()).isFalse();
        assertThat(log.appends() + log.reads() - callsBefore).isAtMost(60);
        log.setOutage(false);
        log.run(5_000, node::tick);
        assertThat(node.fold.records).hasSize(20);
        assertThat(node.outcomes.values().stream().filter(Submission::isFolded)).hasSize(20);
        assertThat(node.outcomes).containsEntry("record 29", Submission.rejectedBacklogFull());
        assertThat(node.session.isAvailable()).isTrue();
    }

    @Test
    void followIsSatisfiedOnlyByAReadThatStartsAfterwards() {
        SessionNode node = SessionNode.tailing(log, "a#1");
        log.run(30, node::tick);
        assertThat(node.session.isCaughtUp()).isTrue();
        node.session.requestReadToEnd(log.now());
        assertThat(node.session.isCaughtUp()).isFalse();
        log.run(1_100, node::tick);
        assertThat(node.session.isCaughtUp()).isTrue();
        assertThat(node.session.lastReadMillis().getAsLong()).isLessThan(log.now());
    }

    @Test
    void aRecordTooLargeForABatchIsRejected() {
        SessionNode node = SessionNode.start(log, "a#1", new StreamSettings(10, true, 100, 100, 20, 1_000_000, 3));
        node.submit("x".repeat(100));
        assertThat(node.outcomes.values()).containsExactly(Submission.rejectedTooLarge());
    }

    @ParameterizedTest
    @CsvSource({"1,1,5", "3,1,15", "3,8,120", "330,1,1650"})
    void commitIntervalsKeepTheDeploymentUnderItsTarget(int nodes, int streams, long interval) {
        assertThat(CommitInterval.forNodes(nodes, streams)).isEqualTo(interval);
    }
}
