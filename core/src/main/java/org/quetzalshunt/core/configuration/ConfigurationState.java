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

/** The state that results from applying the configuration stream up to an offset. Depends on the stream alone. */
final class ConfigurationState {
    private static final int MAXIMUM_OUTCOMES = 1_024;
    private static final int MAXIMUM_AUDIT_ENTRIES = 200;

    private final DocumentTable documents = new DocumentTable();
    private final Map<String, ChangeOutcome> outcomes = new LinkedHashMap<>();
    private final Deque<AcceptedAudit> audit = new ArrayDeque<>();
    private RawRecord generationRecord;
    private LimitGenerationState generation;

    /** Applies a change at its position in the stream; false if it is void there. */
    boolean apply(RawRecord record, ConfigurationChange change) {
        if (change instanceof DocumentChange document) {
            return applyDocument(record, document);
        }
        if (change instanceof LimitGenerationChange next) {
            return applyGeneration(record, next);
        }
        return restore(record, change);
    }

    /** Restores a record from a checkpoint, which contains only records that were valid at their position. */
    boolean restore(RawRecord record, ConfigurationChange change) {
        if (change instanceof DocumentChange document) {
            documents.put(record, document);
            return true;
        }
        if (change instanceof LimitGenerationChange next) {
            setGeneration(record, next);
            return true;
        }
        if (change instanceof AuditEntry entry) {
            audit.addLast(new AcceptedAudit(record, entry));
            if (audit.size() > MAXIMUM_AUDIT_ENTRIES) {
                audit.removeFirst();
            }
            return true;
        }
        return false;
    }

    void restoreOutcome(String changeId, ChangeOutcome outcome) {
        outcomes.put(changeId, outcome);
        if (outcomes.size() > MAXIMUM_OUTCOMES) {
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
        return audit.stream().map(AcceptedAudit::entry).toList();
    }

    Optional<LimitGenerationState> generation() {
        return Optional.ofNullable(generation);
    }

    /** All kept records: documents, then audit entries, then the generation of rate sharing. */
    List<RawRecord> records() {
        List<RawRecord> records = new ArrayList<>(documents.records());
        audit.forEach(entry -> records.add(entry.record()));
        if (generationRecord != null) {
            records.add(generationRecord);
        }
        return records;
    }

    private boolean applyDocument(RawRecord record, DocumentChange change) {
        if (outcomes.containsKey(change.changeId())) {
            return false;
        }
        boolean accepted = documents.apply(record, change);
        restoreOutcome(
                change.changeId(),
                new ChangeOutcome(accepted, accepted ? record.offset() : documents.currentVersion(change.service())));
        return accepted;
    }

    private boolean applyGeneration(RawRecord record, LimitGenerationChange change) {
        long current = generation == null ? ConfigurationChange.NO_VERSION : generation.offset();
        if (change.generation().basedOnGeneration() != current) {
            return false;
        }
        setGeneration(record, change);
        return true;
    }

    private void setGeneration(RawRecord record, LimitGenerationChange change) {
        generationRecord = record;
        generation = new LimitGenerationState(record.offset(), change.generation(), change.notedMillis());
    }

    private record AcceptedAudit(RawRecord record, AuditEntry entry) {}
}
