package org.quetzalshunt.core.configuration;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.quetzalshunt.core.configuration.ConfigurationChange.AuditEntry;
import org.quetzalshunt.core.configuration.ConfigurationChange.CheckpointChange;
import org.quetzalshunt.core.log.CheckpointParts;
import org.quetzalshunt.core.log.LogFold;

/**
 * Fold of the configuration stream: documents by compare-and-set on their version, which is the offset of the record;
 * the first valid record wins. A record that cannot be read is skipped and reported, by every reader alike.
 *
 * <p>After a gap the state is kept but {@link #complete} is false, until a checkpoint that covers the gap has come: the
 * state then is the checkpoint's, and the records from its offset on are applied anew.
 */
public final class Configuration implements LogFold {
    /** Records between a gap and the next checkpoint are few; more than this would be a flood of foreign records. */
    private static final int MAXIMUM_HELD_BYTES = 64 * 1024 * 1024;

    private static final int REMEMBERED_INVALID = 100;

    private final RecordReader reader;
    private final CheckpointParts checkpointParts = CheckpointParts.create();
    private final List<Runnable> listeners = new ArrayList<>();
    private final List<AcceptedRecord> sinceGap = new ArrayList<>();
    private final List<Long> invalidOffsets = new ArrayList<>();
    private ConfigurationState state = new ConfigurationState();
    private KeyIndex keys = KeyIndex.of(List.of());
    private boolean complete = true;
    private long gapEnd;
    private long heldBytes;
    private long next;
    private long invalidRecords;
    private long lastCheckpointCoversBelow = -1;

    private Configuration(RecordReader reader) {
        this.reader = reader;
    }

    /** Makes an empty configuration at offset 0. */
    public static Configuration create(RecordReader reader) {
        return new Configuration(reader);
    }

    @Override
    public void apply(long offset, byte[] record, int indexInBatch) {
        next = Math.max(next, offset);
        Optional<ConfigurationChange> change = reader.read(record);
        if (change.isEmpty()) {
            malformed(offset);
            return;
        }
        if (change.get() instanceof CheckpointChange checkpoint) {
            applyCheckpoint(offset, checkpoint);
            return;
        }
        AcceptedRecord placed = new AcceptedRecord(offset, record);
        if (!complete) {
            hold(placed);
            return;
        }
        if (state.apply(placed, change.get())) {
            changed();
        }
    }

    @Override
    public void gap(long firstKept) {
        complete = false;
        gapEnd = firstKept;
        next = firstKept;
        sinceGap.clear();
        heldBytes = 0;
    }

    @Override
    public void malformed(long offset) {
        invalidRecords++;
        if (invalidOffsets.size() == REMEMBERED_INVALID) {
            invalidOffsets.remove(0);
        }
        invalidOffsets.add(offset);
    }

    @Override
    public void foldedBelow(long position) {
        next = position;
    }

    /** The document in force for a service. */
    public Optional<VersionedDocument> document(String service) {
        return state.documents().current(service).filter(Predicate.not(VersionedDocument::removed));
    }

    /** Version on which the next change of a service must be based; counts a removal as a version. */
    public long currentVersion(String service) {
        return state.documents().currentVersion(service);
    }

    /** Documents in force, by service name. */
    public List<VersionedDocument> documents() {
        return state.documents().live();
    }

    /** Versions of a service that are kept, oldest first, with removals. */
    public List<VersionedDocument> history(String service) {
        return state.documents().history(service);
    }

    /** The account of a key at a service, compared in constant time. */
    public Optional<KeyOwner> authenticate(String service, String keyHashHex) {
        return keys.find(service, keyHashHex);
    }

    /** The account of a key that is in force at any service. */
    public Optional<String> accountOfKey(String keyHashHex) {
        return keys.findAccount(keyHashHex);
    }

    /** The generation of rate sharing in force. */
    public Optional<LimitGenerationState> limitGeneration() {
        return state.generation();
    }

    /** The newest audit entries, oldest first. */
    public List<AuditEntry> audit() {
        return state.audit();
    }

    /** Offset that is folded next. */
    public long next() {
        return next;
    }

    /** Whether the state is that of a reader that saw every record; otherwise nothing may be decided on it. */
    public boolean complete() {
        return complete;
    }

    /** Records skipped because they could not be read, since the start. */
    public long invalidRecords() {
        return invalidRecords;
    }

    /** Offsets of the newest of them. */
    public List<Long> invalidOffsets() {
        return List.copyOf(invalidOffsets);
    }

    /** Version that a change got; empty when it was void or has not been folded. */
    public Optional<Long> versionOutcome(String changeId) {
        return outcome(changeId).filter(ChangeOutcome::accepted).map(ChangeOutcome::version);
    }

    /** What became of a change; empty when it has not been folded, or long ago. */
    public Optional<ChangeOutcome> outcome(String changeId) {
        return Optional.ofNullable(state.outcomes().get(changeId));
    }

    /** Runs an action after each change of the state, on the folding thread. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** State in binary form; equal at all complete readers of the same offset. */
    public byte[] checkpoint() {
        return CheckpointForm.encode(state);
    }

    /**
     * The state as records for the stream; empty while the state is not complete.
     *
     * @param maximumPartBytes largest part, in octets of state
     */
    public List<CheckpointChange> checkpointChanges(int maximumPartBytes) {
        if (!complete) {
            return List.of();
        }
        List<byte[]> parts = CheckpointParts.split(checkpoint(), maximumPartBytes);
        List<CheckpointChange> changes = new ArrayList<>(parts.size());
        for (int part = 0; part < parts.size(); part++) {
            changes.add(new CheckpointChange(next, part, parts.size(), parts.get(part)));
        }
        return changes;
    }

    /** Offset below which the newest whole checkpoint covers the stream; -1 when none was seen. */
    public long lastCheckpointCoversBelow() {
        return lastCheckpointCoversBelow;
    }

    private void hold(AcceptedRecord record) {
        if (heldBytes + record.record().length > MAXIMUM_HELD_BYTES) {
            return;
        }
        heldBytes += record.record().length;
        sinceGap.add(record);
    }

    private void applyCheckpoint(long offset, CheckpointChange change) {
        // A checkpoint speaks of what lies before it; one that covers its own place comes from a broken writer.
        if (change.coversBelow() > offset) {
            malformed(offset);
            return;
        }
        Optional<byte[]> whole =
                checkpointParts.add(change.coversBelow(), change.part(), change.parts(), change.state());
        if (whole.isEmpty()) {
            return;
        }
        Optional<ConfigurationState> covered = CheckpointForm.decode(whole.get(), reader);
        if (covered.isEmpty()) {
            malformed(offset);
            return;
        }
        lastCheckpointCoversBelow = Math.max(lastCheckpointCoversBelow, change.coversBelow());
        // A complete state has seen every record that the checkpoint covers, so it can only be as new or newer:
        // taking the checkpoint could bring back an older version. One that ends before the gap does lacks records.
        if (!complete && change.coversBelow() >= gapEnd) {
            restore(covered.get(), change.coversBelow());
        }
    }

    private void restore(ConfigurationState restored, long coversBelow) {
        state = restored;
        complete = true;
        for (AcceptedRecord record : sinceGap) {
            if (record.offset() >= coversBelow) {
                reader.read(record.record()).ifPresent(change -> state.apply(record, change));
            }
        }
        sinceGap.clear();
        heldBytes = 0;
        changed();
    }

    private void changed() {
        keys = KeyIndex.of(state.documents().live());
        listeners.forEach(Runnable::run);
    }
}
