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
 * The configuration of a deployment, built by applying the records of the configuration stream. A document is changed
 * by compare-and-set on its version, which is the offset of its record, so the first valid change wins. Every reader
 * skips and counts the same unreadable records.
 *
 * <p>After a gap the old state is kept, but {@link #isComplete} is false until a checkpoint that covers the gap has
 * been read. Then the state is replaced by the checkpoint's, and the records from its offset on are applied.
 */
public final class Configuration implements LogFold {
    /**
     * Far above the size of the records between a gap and the next checkpoint. Only a flood of records that do not
     * belong to the stream could exceed it; further records are then dropped.
     */
    private static final int MAXIMUM_BUFFERED_BYTES = 64 * 1024 * 1024;

    private static final int MAXIMUM_INVALID_OFFSETS = 100;

    private final RecordReader reader;
    private final CheckpointParts checkpointParts = CheckpointParts.create();
    private final List<Runnable> listeners = new ArrayList<>();
    private final List<RawRecord> bufferedRecords = new ArrayList<>();
    private final List<Long> invalidOffsets = new ArrayList<>();
    private ConfigurationState state = new ConfigurationState();
    private KeyIndex keys = KeyIndex.of(List.of());
    private boolean complete = true;
    private long gapEnd;
    private long bufferedBytes;
    private long next;
    private long invalidRecords;
    private long lastCheckpointCoversBelow = -1;

    private Configuration(RecordReader reader) {
        this.reader = reader;
    }

    /** Creates an empty configuration at offset 0. */
    public static Configuration create(RecordReader reader) {
        return new Configuration(reader);
    }

    @Override
    public void apply(long offset, byte[] record, int indexInBatch) {
        next = Math.max(next, offset);
        Optional<ConfigurationChange> change = reader.read(record);
        if (change.isEmpty()) {
            onMalformedEntry(offset);
            return;
        }
        if (change.get() instanceof CheckpointChange checkpoint) {
            applyCheckpoint(offset, checkpoint);
            return;
        }
        RawRecord raw = new RawRecord(offset, record);
        if (!complete) {
            buffer(raw);
            return;
        }
        if (state.apply(raw, change.get())) {
            onStateChanged();
        }
    }

    @Override
    public void onGap(long firstKept) {
        complete = false;
        gapEnd = firstKept;
        next = firstKept;
        bufferedRecords.clear();
        bufferedBytes = 0;
    }

    @Override
    public void onMalformedEntry(long offset) {
        invalidRecords++;
        if (invalidOffsets.size() == MAXIMUM_INVALID_OFFSETS) {
            invalidOffsets.remove(0);
        }
        invalidOffsets.add(offset);
    }

    @Override
    public void onAppliedBelow(long position) {
        next = position;
    }

    /** The current document of a service; empty if there is none or it was removed. */
    public Optional<VersionedDocument> document(String service) {
        return state.documents().current(service).filter(Predicate.not(VersionedDocument::isRemoved));
    }

    /** Version on which the next change of a service must be based; a removal also counts as a version. */
    public long currentVersion(String service) {
        return state.documents().currentVersion(service);
    }

    /** The current documents, sorted by service name. */
    public List<VersionedDocument> documents() {
        return state.documents().live();
    }

    /** The kept versions of a service's document, oldest first, including removals. */
    public List<VersionedDocument> history(String service) {
        return state.documents().history(service);
    }

    /** Finds the client account of a key at a service. Key hashes are compared in constant time. */
    public Optional<KeyOwner> authenticate(String service, String keyHashHex) {
        return keys.find(service, keyHashHex);
    }

    /** Finds the name of the client account of a key that is valid at any service. */
    public Optional<String> accountOfKey(String keyHashHex) {
        return keys.findAccount(keyHashHex);
    }

    /** The current set of VMs that share the client accounts' rates. */
    public Optional<LimitGenerationState> limitGeneration() {
        return state.generation();
    }

    /** The newest audit entries, oldest first. */
    public List<AuditEntry> audit() {
        return state.audit();
    }

    /** Offset that is applied next. */
    public long nextOffset() {
        return next;
    }

    /** Whether the state reflects every record of the stream. If not, no decision may be based on it. */
    public boolean isComplete() {
        return complete;
    }

    /** Number of records skipped since the start because they could not be read. */
    public long invalidRecords() {
        return invalidRecords;
    }

    /** Offsets of the newest records that could not be read. */
    public List<Long> invalidOffsets() {
        return List.copyOf(invalidOffsets);
    }

    /** Version that a change got; empty if it was rejected or has not been applied. */
    public Optional<Long> acceptedVersion(String changeId) {
        return outcome(changeId).filter(ChangeOutcome::accepted).map(ChangeOutcome::version);
    }

    /** Outcome of a change; empty if it has not been applied yet, or so long ago that its outcome was dropped. */
    public Optional<ChangeOutcome> outcome(String changeId) {
        return Optional.ofNullable(state.outcomes().get(changeId));
    }

    /** Adds a listener that runs after each change of the state, on the thread that applies records. */
    public void onChange(Runnable listener) {
        listeners.add(listener);
    }

    /** The encoded state. Equal at all readers that have applied the stream up to the same offset without a gap. */
    public byte[] checkpoint() {
        return CheckpointCodec.encode(state);
    }

    /**
     * The state as checkpoint records for the stream; empty while the state is not complete.
     *
     * @param maximumPartBytes maximum bytes of state in one part
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

    /** Offset below which the newest complete checkpoint covers the stream; -1 if none was read. */
    public long lastCheckpointCoversBelow() {
        return lastCheckpointCoversBelow;
    }

    private void buffer(RawRecord record) {
        if (bufferedBytes + record.record().length > MAXIMUM_BUFFERED_BYTES) {
            return;
        }
        bufferedBytes += record.record().length;
        bufferedRecords.add(record);
    }

    private void applyCheckpoint(long offset, CheckpointChange change) {
        // A checkpoint can only cover offsets before its own; anything else comes from a faulty writer.
        if (change.coversBelow() > offset) {
            onMalformedEntry(offset);
            return;
        }
        Optional<byte[]> encoded =
                checkpointParts.add(change.coversBelow(), change.part(), change.parts(), change.state());
        if (encoded.isEmpty()) {
            return;
        }
        Optional<ConfigurationState> decoded = CheckpointCodec.decode(encoded.get(), reader);
        if (decoded.isEmpty()) {
            onMalformedEntry(offset);
            return;
        }
        lastCheckpointCoversBelow = Math.max(lastCheckpointCoversBelow, change.coversBelow());
        // A complete state includes every record that the checkpoint covers, and restoring the checkpoint could bring
        // back older versions. A checkpoint that ends within the gap lacks the rest of the gap's records.
        if (!complete && change.coversBelow() >= gapEnd) {
            restore(decoded.get(), change.coversBelow());
        }
    }

    private void restore(ConfigurationState restored, long coversBelow) {
        state = restored;
        complete = true;
        for (RawRecord record : bufferedRecords) {
            if (record.offset() >= coversBelow) {
                reader.read(record.record()).ifPresent(change -> state.apply(record, change));
            }
        }
        bufferedRecords.clear();
        bufferedBytes = 0;
        onStateChanged();
    }

    private void onStateChanged() {
        keys = KeyIndex.of(state.documents().live());
        listeners.forEach(Runnable::run);
    }
}
