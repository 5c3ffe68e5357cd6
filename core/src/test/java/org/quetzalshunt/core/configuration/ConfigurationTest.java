package org.quetzalshunt.core.configuration;

import static com.google.common.truth.Truth.assertThat;
import static org.quetzalshunt.core.configuration.ConfigurationChange.NO_VERSION;
import static org.quetzalshunt.core.configuration.TextRecords.hash;
import static org.quetzalshunt.core.configuration.TextRecords.put;
import static org.quetzalshunt.core.configuration.TextRecords.remove;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.configuration.ConfigurationChange.CheckpointChange;
import org.quetzalshunt.core.configuration.ConfigurationChange.DocumentChange;
import org.quetzalshunt.core.log.FakeLog;

final class ConfigurationTest {
    private static final int KEY = 1;
    private static final int OTHER_KEY = 2;

    private final FakeLog log = new FakeLog(11);
    private final Configuration configuration = Configuration.create(TextRecords::read);
    private long next;

    private long fold(ConfigurationChange change) {
        configuration.apply(next, TextRecords.write(change), 0);
        configuration.foldedBelow(next + 1);
        return next++;
    }

    /**
     * Two operators of one team read version 0 and each put a change, one raising a rate, one withdrawing a key, through
     * two entries at the same moment. Taking both would undo one of them unseen. Whichever comes first in the log wins
     * at every reader, and the other operator hears which version is in force now.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void theFirstOfTwoRacingOperatorsWins(boolean ashaFirst) {
        long created = fold(put("tutor", NO_VERSION, "create", hash(KEY)));
        DocumentChange asha = put("tutor", created, "asha", hash(OTHER_KEY));
        DocumentChange baraka = put("tutor", created, "baraka", hash(KEY), hash(OTHER_KEY));
        long won = fold(ashaFirst ? asha : baraka);
        fold(ashaFirst ? baraka : asha);
        assertThat(configuration.document("tutor").map(VersionedDocument::version))
                .hasValue(won);
        assertThat(configuration.versionOutcome(ashaFirst ? "asha" : "baraka")).hasValue(won);
        assertThat(configuration.outcome(ashaFirst ? "baraka" : "asha")).hasValue(new ChangeOutcome(false, won));
    }

    /**
     * An operator withdraws a key, and the log's answer is lost. Saying "failed" would be untrue if the change is in
     * the log, repeating it blindly would be refused as a conflict with itself. Reading back finds it by its name.
     */
    @ParameterizedTest
    @EnumSource(FakeLog.AppendFault.class)
    void aPutWhoseAnswerIsLostIsResolvedByReadingBack(FakeLog.AppendFault fault) {
        ConfigurationNode entry = ConfigurationNode.start(log, "entry#1");
        ConfigurationNode other = ConfigurationNode.start(log, "other#1");
        Runnable ticks = () -> List.of(entry, other).forEach(ConfigurationNode::tick);
        log.run(20, ticks);
        entry.submit(put("tutor", NO_VERSION, "create", hash(KEY)));
        log.run(50, ticks);
        log.failNextAppend(fault);
        entry.submit(put("tutor", 0, "withdraw", hash(OTHER_KEY)));
        log.run(4_000, ticks);
        Optional<ChangeOutcome> outcome = entry.heard.get("withdraw");
        assertThat(outcome.map(ChangeOutcome::accepted)).hasValue(true);
        assertThat(other.configuration.versionOutcome("withdraw")).isEqualTo(outcome.map(ChangeOutcome::version));
        assertThat(other.configuration.authenticate("tutor", hash(KEY))).isEmpty();
    }

    /**
     * A process stands still while a key is withdrawn and retention drops the record that says so. When it goes on, its
     * state looks whole but still holds the key. It must know that it has missed something, decide nothing until a
     * checkpoint has come, and then refuse the key.
     */
    @Test
    void retentionOverAStoppedNodeLeavesNoWithdrawnKeyInForce() {
        ConfigurationNode stopped = ConfigurationNode.start(log, "stopped#1");
        ConfigurationNode running = ConfigurationNode.start(log, "running#1");
        Runnable ticks = () -> List.of(stopped, running).forEach(ConfigurationNode::tick);
        log.run(20, ticks);
        running.submit(put("tutor", NO_VERSION, "create", hash(KEY)));
        log.run(50, ticks);
        assertThat(stopped.configuration.accountOfKey(hash(KEY))).hasValue("arusha");
        stopped.transport.pause();
        running.submit(put("other", NO_VERSION, "still answered to the read under way", hash(3)));
        log.run(50, running::tick);
        running.submit(put("tutor", 0, "withdraw", hash(OTHER_KEY)));
        log.run(50, running::tick);
        log.dropBelow(3);
        stopped.transport.resume();
        log.run(20, stopped::tick);
        assertThat(stopped.configuration.complete()).isFalse();
        running.publishCheckpoint();
        log.run(50, ticks);
        assertThat(stopped.configuration.complete()).isTrue();
        assertThat(stopped.configuration.authenticate("tutor", hash(KEY))).isEmpty();
        assertThat(stopped.configuration.checkpoint()).isEqualTo(running.configuration.checkpoint());
    }

    /**
     * A process makes a checkpoint and stands still before it reaches the log. Meanwhile a key is withdrawn; then the
     * old checkpoint lands behind the withdrawal. A reader that took it as it is would bring the key back, whether it
     * has seen everything or starts late.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aCheckpointNeverBringsBackAnOlderVersion(boolean startsLate) {
        long created = fold(put("tutor", NO_VERSION, "create", hash(KEY)));
        List<CheckpointChange> old = configuration.checkpointChanges(ConfigurationNode.PART_BYTES);
        long withdrawn = fold(put("tutor", created, "withdraw", hash(OTHER_KEY)));
        Configuration reader = configuration;
        if (startsLate) {
            reader = Configuration.create(TextRecords::read);
            reader.gap(withdrawn);
            reader.apply(withdrawn, TextRecords.write(put("tutor", created, "withdraw", hash(OTHER_KEY))), 0);
        }
        for (CheckpointChange part : old) {
            reader.apply(withdrawn + 1, TextRecords.write(part), part.part());
        }
        assertThat(reader.complete()).isTrue();
        assertThat(reader.document("tutor").map(VersionedDocument::version)).hasValue(withdrawn);
        assertThat(reader.authenticate("tutor", hash(KEY))).isEmpty();
        assertThat(reader.checkpoint()).isEqualTo(configuration.checkpoint());
    }

    /** A checkpoint that ends before what a late starter can read lacks the records between, and must not be taken. */
    @Test
    void aCheckpointThatEndsBeforeTheGapDoesIsNotTaken() {
        fold(put("tutor", NO_VERSION, "create", hash(KEY)));
        List<CheckpointChange> old = configuration.checkpointChanges(ConfigurationNode.PART_BYTES);
        Configuration late = Configuration.create(TextRecords::read);
        late.gap(2);
        old.forEach(part -> late.apply(3, TextRecords.write(part), part.part()));
        assertThat(late.complete()).isFalse();
        assertThat(late.documents()).isEmpty();
    }

    /**
     * A faulty tool, or a VM of a newer version, appends a record that nobody can read, or a checkpoint that claims to
     * cover what comes after it. Stopping at it would stop every process at once and again after each restart: it is
     * skipped, and reported.
     */
    @ParameterizedTest
    @ValueSource(strings = {"nonsense", "", "checkpoint 99 0 1 AAAAAAAAAAA=", "checkpoint 0 0 1 AAAAAAAAAAAAAAAA"})
    void aRecordThatCannotBeReadIsSkippedAndReported(String record) {
        long created = fold(put("tutor", NO_VERSION, "create", hash(KEY)));
        configuration.apply(next++, record.getBytes(StandardCharsets.UTF_8), 0);
        long changed = fold(put("tutor", created, "change", hash(OTHER_KEY)));
        assertThat(configuration.currentVersion("tutor")).isEqualTo(changed);
        boolean unreadable = !record.startsWith("checkpoint 0");
        assertThat(configuration.invalidRecords()).isEqualTo(unreadable ? 1 : 0);
    }

    @Test
    void aServiceTakenAwayComesBackOnlyOnItsLastVersion() {
        long created = fold(put("tutor", NO_VERSION, "create", hash(KEY)));
        long removed = fold(remove("tutor", created, "remove"));
        fold(put("tutor", NO_VERSION, "blind", hash(KEY)));
        assertThat(configuration.document("tutor")).isEmpty();
        assertThat(configuration.authenticate("tutor", hash(KEY))).isEmpty();
        long again = fold(put("tutor", removed, "again", hash(KEY)));
        assertThat(configuration.currentVersion("tutor")).isEqualTo(again);
        assertThat(configuration.history("tutor")).hasSize(3);
    }

    @Test
    void anotherTeamsDocumentIsLeftAlone() {
        long created = fold(put("tutor", NO_VERSION, "create", hash(KEY)));
        DocumentChange own = put("tutor", created, "steal", hash(OTHER_KEY));
        fold(new DocumentChange("tutor", created, "kite", "ravi", 0, "steal", own.document(), ""));
        assertThat(configuration.currentVersion("tutor")).isEqualTo(created);
        assertThat(configuration.versionOutcome("steal")).isEmpty();
    }

    @Test
    void aKeyIsInForceForItsServiceWhileItsHashIsListed() {
        long created = fold(put("tutor", NO_VERSION, "create", hash(KEY)));
        fold(put("planner", NO_VERSION, "planner", hash(3)));
        assertThat(configuration.authenticate("tutor", hash(KEY)).map(KeyOwner::service))
                .hasValue("tutor");
        assertThat(configuration.authenticate("planner", hash(KEY))).isEmpty();
        long rotated = fold(put("tutor", created, "rotate", hash(KEY), hash(OTHER_KEY)));
        assertThat(configuration.authenticate("tutor", hash(KEY))).isPresent();
        assertThat(configuration.authenticate("tutor", hash(OTHER_KEY))).isPresent();
        List<Integer> changes = new ArrayList<>();
        configuration.onChange(() -> changes.add(1));
        fold(put("tutor", rotated, "withdraw", hash(OTHER_KEY)));
        assertThat(configuration.authenticate("tutor", hash(KEY))).isEmpty();
        assertThat(configuration.accountOfKey(hash(KEY))).isEmpty();
        assertThat(changes).hasSize(1);
        assertThat(configuration.authenticate("tutor", "not a hash")).isEmpty();
    }

    @Test
    void partsOfTwoCheckpointsAreNeverJoined() {
        fold(put("tutor", NO_VERSION, "create", hash(KEY), hash(3), hash(4), hash(5)));
        List<CheckpointChange> one = configuration.checkpointChanges(50);
        Configuration other = Configuration.create(TextRecords::read);
        other.apply(0, TextRecords.write(put("tutor", NO_VERSION, "create", hash(9), hash(8), hash(7), hash(6))), 0);
        other.foldedBelow(1);
        List<CheckpointChange> two = other.checkpointChanges(50);
        assertThat(one.size()).isGreaterThan(1);
        assertThat(two).hasSize(one.size());
        Configuration late = Configuration.create(TextRecords::read);
        late.gap(1);
        for (int part = 0; part < one.size(); part++) {
            late.apply(2, TextRecords.write((part % 2 == 0 ? one : two).get(part)), part);
        }
        assertThat(late.complete()).isFalse();
        one.forEach(part -> late.apply(3, TextRecords.write(part), part.part()));
        assertThat(late.checkpoint()).isEqualTo(configuration.checkpoint());
    }
}
