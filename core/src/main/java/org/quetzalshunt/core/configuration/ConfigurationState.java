package org.quetzalshunt.core.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalshunt.core.configuration.ConfigurationChange.AuditEntry;
import org.quetzalshunt.core.configuration.ConfigurationChange.DocumentChange;
import org.quetzalshunt.core.configuration.ConfigurationChange.LimitGenerationChange;

/** Everything that the configuration stream says below one offset. A function of the stream alone. */
final class ConfigurationState {
    private static final int REMEMBERED_OUTCOMES = 1_024;
    private static final int REMEMBERED_AUDIT_ENTRIES = 200;

    private final DocumentTable documents = new DocumentTable();
    private final Map<String, ChangeOutcome> outcomes = new LinkedHashMap<>();
    private final Deque<Audit> audit = new ArrayDeque<>();
    private AcceptedRecord generationRecord;
    private LimitGenerationState generation;

    /** Applies a change at its place in the stream; false when it is void there. */
    boolean apply(AcceptedRecord record, ConfigurationChange change) {
        if (change instanceof DocumentChange document) {
            return applyDocument(record, document);
        }
        if (change instanceof LimitGenerationChange next) {
            return applyGeneration(record, next);
        }
        return restore(record, change);
    }

    /** Takes a record that a checkpoint holds, and which was valid where it stood. */
    boolean restore(AcceptedRecord record, ConfigurationChange change) {
        if (change instanceof DocumentChange document) {
            documents.put(record, document);
            return true;
        }
        if (change instanceof LimitGenerationChange next) {
            setGeneration(record, next);
            return true;
        }
        if (change instanceof AuditEntry entry) {
            audit.addLast(new Audit(record, entry));
            if (audit.size() > REMEMBERED_AUDIT_ENTRIES) {
                audit.removeFirst();
            }
            return true;
        }
        return false;
    }

    void restoreOutcome(String changeId, ChangeOutcome outcome) {
        outcomes.put(changeId, outcome);
        if (outcomes.size() > REMEMBERED_OUTCOMES) {
            outcomes.remove(outcomes.keySet().iterator().next());
        }
    }

    DocumentTable documents() {
        return documents;
    }

    Map<String, ChangeOutcome> outcomes() {
        return outcomes;
    }

    List<AuditEntry> audit() {
        return audit.stream().map(Audit::entry).toList();
    }

    Optional<LimitGenerationState> generation() {
        return Optional.ofNullable(generation);
    }

    /** Every record kept: documents, then audit entries, then the generation. */
    List<AcceptedRecord> records() {
        List<AcceptedRecord> records = new ArrayList<>(documents.records());
        audit.forEach(entry -> records.add(entry.record()));
        if (generationRecord != null) {
            records.add(generationRecord);
        }
        return records;
    }

    private boolean applyDocument(AcceptedRecord record, DocumentChange change) {
        if (outcomes.containsKey(change.changeId())) {
            return false;
        }
        boolean accepted = documents.apply(record, change);
        restoreOutcome(
                change.changeId(),
                new ChangeOutcome(accepted, accepted ? record.offset() : documents.currentVersion(change.service())));
        return accepted;
    }

    private boolean applyGeneration(AcceptedRecord record, LimitGenerationChange change) {
        long current = generation == null ? ConfigurationChange.NO_VERSION : generation.offset();
        if (change.generation().basedOnGeneration() != current) {
            return false;
        }
        setGeneration(record, change);
        return true;
    }

    private void setGeneration(AcceptedRecord record, LimitGenerationChange change) {
        generationRecord = record;
        generation = new LimitGenerationState(record.offset(), change.generation(), change.notedMillis());
    }

    private record Audit(AcceptedRecord record, AuditEntry entry) {}
}
