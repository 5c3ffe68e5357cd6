package org.quetzalshunt.core.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Predicate;
import org.quetzalshunt.core.configuration.ConfigurationChange.DocumentChange;

/**
 * Versions of each service's document, oldest first. Bounded by rules that depend on the stream alone, so that every
 * reader keeps the same ones.
 */
final class DocumentTable {
    private static final int VERSIONS_PER_SERVICE = 10;
    private static final int LIVE_SERVICES = 256;
    private static final int REMOVED_SERVICES = 256;

    /** Former versions of all services together. */
    private static final long HISTORY_BYTES = 4L * 1024 * 1024;

    private final TreeMap<String, Deque<Version>> byService = new TreeMap<>();
    private long historyBytes;

    /** Applies a change at its place in the stream; false when it is void there. */
    boolean apply(AcceptedRecord record, DocumentChange change) {
        if (change.basedOnVersion() != currentVersion(change.service()) || !teamMayChange(change)) {
            return false;
        }
        if (change.document().isPresent() && liveCount() >= LIVE_SERVICES && !isLive(change.service())) {
            return false;
        }
        put(record, change);
        return true;
    }

    /** Takes a version as it stands in a checkpoint, where it was found valid. */
    void put(AcceptedRecord record, DocumentChange change) {
        Deque<Version> versions = byService.computeIfAbsent(change.service(), ignored -> new ArrayDeque<>());
        if (!versions.isEmpty()) {
            historyBytes += versions.peekLast().record().record().length;
        }
        versions.addLast(new Version(record, versioned(record.offset(), change)));
        if (versions.size() > VERSIONS_PER_SERVICE) {
            dropFirst(versions);
        }
        boundHistory();
        boundRemoved();
    }

    long currentVersion(String service) {
        return current(service).map(VersionedDocument::version).orElse(ConfigurationChange.NO_VERSION);
    }

    /** Newest version, also when it takes the service away. */
    Optional<VersionedDocument> current(String service) {
        return Optional.ofNullable(byService.get(service)).map(Deque::peekLast).map(Version::document);
    }

    List<VersionedDocument> live() {
        return byService.values().stream()
                .map(versions -> versions.peekLast().document())
                .filter(Predicate.not(VersionedDocument::removed))
                .toList();
    }

    List<VersionedDocument> history(String service) {
        return byService.getOrDefault(service, new ArrayDeque<>()).stream()
                .map(Version::document)
                .toList();
    }

    /** Every record kept, in the order of the stream. */
    List<AcceptedRecord> records() {
        List<AcceptedRecord> records = new ArrayList<>();
        byService.values().forEach(versions -> versions.forEach(version -> records.add(version.record())));
        records.sort(Comparator.comparingLong(AcceptedRecord::offset));
        return records;
    }

    private boolean teamMayChange(DocumentChange change) {
        boolean ownDocument = change.document()
                .map(document ->
                        document.team().equals(change.team()) && document.name().equals(change.service()))
                .orElse(true);
        boolean ownService = current(change.service())
                .filter(Predicate.not(VersionedDocument::removed))
                .map(present -> present.team().equals(change.team()))
                .orElse(true);
        return ownDocument && ownService;
    }

    private boolean isLive(String service) {
        return current(service)
                .filter(Predicate.not(VersionedDocument::removed))
                .isPresent();
    }

    private long liveCount() {
        return byService.values().stream()
                .filter(versions -> !versions.peekLast().document().removed())
                .count();
    }

    private void boundHistory() {
        while (historyBytes > HISTORY_BYTES) {
            Optional<Deque<Version>> oldest = byService.values().stream()
                    .filter(versions -> versions.size() > 1)
                    .min(Comparator.comparingLong(
                            versions -> versions.peekFirst().record().offset()));
            if (oldest.isEmpty()) {
                return;
            }
            dropFirst(oldest.get());
        }
    }

    private void boundRemoved() {
        if (byService.size() - liveCount() <= REMOVED_SERVICES) {
            return;
        }
        byService.entrySet().stream()
                .filter(entry -> entry.getValue().peekLast().document().removed())
                .min(Comparator.comparingLong(
                        entry -> entry.getValue().peekLast().record().offset()))
                .ifPresent(entry -> forget(entry.getKey()));
    }

    private void forget(String service) {
        Deque<Version> versions = byService.remove(service);
        while (versions.size() > 1) {
            dropFirst(versions);
        }
    }

    private void dropFirst(Deque<Version> versions) {
        historyBytes -= versions.removeFirst().record().record().length;
    }

    private static VersionedDocument versioned(long offset, DocumentChange change) {
        return new VersionedDocument(
                change.service(),
                offset,
                change.document(),
                change.team(),
                change.author(),
                change.putMillis(),
                change.sourceText());
    }

    private record Version(AcceptedRecord record, VersionedDocument document) {}
}
