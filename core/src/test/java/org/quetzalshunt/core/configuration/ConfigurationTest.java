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
        configuration.onAppliedBelow(next + 1);
        return next++;
    }

    /**
     * Two operators put changes based on the same version at the same time. Accepting both would silently undo one of
     * them. The first in the log must win at every reader, and the other must get the current version.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void theFirstOfTwoConcurrentChangesWins(boolean ashaFirst) {
        long created = fold(put("tutor", NO_VERSION, "create", hash(KEY)));
        DocumentChange asha = put("tutor", created, "asha", hash(OTHER_KEY));
        DocumentChange baraka = put("tutor", created, "baraka", hash(KEY), hash(OTHER_KEY));
        long won = fold(ashaFirst ? asha : baraka);
        fold(ashaFirst ? baraka : asha);
        assertThat(configuration.document("tutor").map(VersionedDocument::version))
                .hasValue(won);
        assertThat(configuration.acceptedVersion(ashaFirst ? "asha" : "baraka")).hasValue(won);
        assertThat(configuration.outcome(ashaFirst ? "baraka" : "asha")).hasValue(new ChangeOutcome(false, won));
    }

    /**
     * The log's answer to a change is lost. Reporting a failure could be wrong, and a blind retry would conflict with
     * the first copy. The outcome must be found by reading the log back and looking up the change's id.
     */
    @ParameterizedTest
    @EnumSource(FakeLog.AppendFault.class)
    void aChangeWithALostAnswerIsResolvedByReadingBack(FakeLog.AppendFault fault) {
        ConfigurationNode entry = ConfigurationNode.start(log, "entry#1");
        ConfigurationNode other = ConfigurationNode.start(log, "other#1");
        Runnable ticks = () -> List.of(entry, other).forEach(ConfigurationNode::tick);
        log.run(20, ticks);
        entry.submit(put("tutor", NO_VERSION, "create", hash(KEY)));
        log.run(50, ticks);
        log.failNextAppend(fault);
        entry.submit(put("tutor", 0, "withdraw", hash(OTHER_KEY)));
        log.run(4_000, ticks);
        Optional<ChangeOutcome> outcome = entry.outcomes.get("withdraw");
        assertThat(outcome.map(ChangeOutcome::accepted)).hasValue(true);
        assertThat(other.configuration.acceptedVersion("withdraw")).isEqualTo(outcome.map(ChangeOutcome::version));
        assertThat(other.configuration.authenticate("tutor", hash(KEY))).isEmpty();
    }

    /**
     * A process is paused while a key is withdrawn and retention deletes that record, so its state still contains the
     * key. It must detect the gap, report its state as incomplete until it has read a checkpoint, and then reject the
     * key.
     */
    @Test
    void aKeyWithdrawnInAGapIsRejectedAfterTheNextCheckpoint() {
        ConfigurationNode paused = ConfigurationNode.start(log, "stopped#1");
        ConfigurationNode running = ConfigurationNode.start(log, "running#1");
        Runnable ticks = () -> List.of(paused, running).forEach(ConfigurationNode::tick);
        log.run(20, ticks);
        running.submit(put("tutor", NO_VERSION, "create", hash(KEY)));
        log.run(50, ticks);
        assertThat(paused.configuration.accountOfKey(hash(KEY))).hasValue("arusha");
        paused.transport.pause();
        running.submit(put("other", NO_VERSION, "still answered to the read under way", hash(3)));
        log.run(50, running::tick);
        running.submit(put("tutor", 0, "withdraw", hash(OTHER_KEY)));
        log.run(50, running::tick);
        log.dropBelow(3);
        paused.transport.resume();
        log.run(20, paused::tick);
        assertThat(paused.configuration.isComplete()).isFalse();
        running.publishCheckpoint();
        log.run(50, ticks);
        assertThat(paused.configuration.isComplete()).isTrue();
        assertThat(paused.configuration.authenticate("tutor", hash(KEY))).isEmpty();
        assertThat(paused.configuration.checkpoint()).isEqualTo(running.configuration.checkpoint());
    }

    /**
     * A checkpoint is delayed and appended after a key was withdrawn that it still contains. Neither a reader that has
     * applied every record nor one that starts after a gap may restore the key from it.
     */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aDelayedCheckpointDoesNotRestoreAnOlderVersion(boolean startsLate) {
        long created = fold(put("tutor", NO_VERSION, "create", hash(KEY)));
        List<CheckpointChange> old = configuration.checkpointChanges(ConfigurationNode.PART_BYTES);
        long withdrawn = fold(put("tutor", created, "withdraw", hash(OTHER_KEY)));
        Configuration reader = configuration;
        if (startsLate) {
            reader = Configuration.create(TextRecords::read);
            reader.onGap(withdrawn);
            reader.apply(withdrawn, TextRecords.write(put("tutor", created, "withdraw", hash(OTHER_KEY))), 0);
        }
        for (CheckpointChange part : old) {
            reader.apply(withdrawn + 1, TextRecords.write(part), part.part());
        }
        assertThat(reader.isComplete()).isTrue();
        assertThat(reader.document("tutor").map(VersionedDocument::version)).hasValue(withdrawn);
        assertThat(reader.authenticate("tutor", hash(KEY))).isEmpty();
        assertThat(reader.checkpoint()).isEqualTo(configuration.checkpoint());
    }

    /** A checkpoint that ends before the first record kept by the log lacks records, and must not be restored. */
    @Test
    void aCheckpointThatEndsWithinTheGapIsNotRestored() {
        fold(put("tutor", NO_VERSION, "create", hash(KEY)));
        List<CheckpointChange> old = configuration.checkpointChanges(ConfigurationNode.PART_BYTES);
        Configuration late = Configuration.create(TextRecords::read);
        late.onGap(2);
        old.forEach(part -> late.apply(3, TextRecords.write(part), part.part()));
        assertThat(late.isComplete()).isFalse();
        assertThat(late.documents()).isEmpty();
    }

    /**
     * A faulty tool or a newer version appends a record that cannot be read, or a checkpoint that claims to cover
     * offsets after its own. If readers failed on it, every process would fail, and again after each restart. It must
     * be skipped and counted.
     */
    @ParameterizedTest
    @ValueSource(strings = {"nonsense", "", "checkpoint 99 0 1 AAAAAAAAAAA=", "checkpoint 0 0 1 AAAAAAAAAAAAAAAA"})
    void aRecordThatCannotBeReadIsSkippedAndCounted(String record) {
        long created = fold(put("tutor", NO_VERSION, "create", hash(KEY)));
        configuration.apply(next++, record.getBytes(StandardCharsets.UTF_8), 0);
        long changed = fold(put("tutor", created, "change", hash(OTHER_KEY)));
        assertThat(configuration.currentVersion("tutor")).isEqualTo(changed);
        boolean unreadable = !record.startsWith("checkpoint 0");
        assertThat(configuration.invalidRecords()).isEqualTo(unreadable ? 1 : 0);
    }

    @Test
    void aRemovedServiceCanBePutAgainOnlyOnItsLastVersion() {
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
    void aTeamCannotChangeAnotherTeamsDocument() {
        long created = fold(put("tutor", NO_VERSION, "create", hash(KEY)));
        DocumentChange own = put("tutor", created, "steal", hash(OTHER_KEY));
        fold(new DocumentChange("tutor", created, "kite", "ravi", 0, "steal", own.document(), ""));
        assertThat(configuration.currentVersion("tutor")).isEqualTo(created);
        assertThat(configuration.acceptedVersion("steal")).isEmpty();
    }

    @Test
    void aKeyIsValidOnlyForItsServiceAndWhileItsHashIsListed() {
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
    void partsOfTwoCheckpointsAreNeverCombined() {
        fold(put("tutor", NO_VERSION, "create", hash(KEY), hash(3), hash(4), hash(5)));
        List<CheckpointChange> one = configuration.checkpointChanges(50);
        Configuration other = Configuration.create(TextRecords::read);
        other.apply(0, TextRecords.write(put("tutor", NO_VERSION, "create", hash(9), hash(8), hash(7), hash(6))), 0);
        other.onAppliedBelow(1);
        List<CheckpointChange> two = other.checkpointChanges(50);
        assertThat(one.size()).isGreaterThan(1);
        assertThat(two).hasSize(one.size());
        Configuration late = Configuration.create(TextRecords::read);
        late.onGap(1);
        for (int part = 0; part < one.size(); part++) {
            late.apply(2, TextRecords.write((part % 2 == 0 ? one : two).get(part)), part);
        }
        assertThat(late.isComplete()).isFalse();
        one.forEach(part -> late.apply(3, TextRecords.write(part), part.part()));
        assertThat(late.checkpoint()).isEqualTo(configuration.checkpoint());
    }
}
