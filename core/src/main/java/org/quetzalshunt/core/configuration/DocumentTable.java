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
 * The versions of each service's document, oldest first. Old versions are dropped by rules that depend on the stream
 * alone, so that every reader keeps the same versions.
 */
final class DocumentTable {
    private static final int MAXIMUM_VERSIONS_PER_SERVICE = 10;
    private static final int MAXIMUM_LIVE_SERVICES = 256;
    private static final int MAXIMUM_REMOVED_SERVICES = 256;

    /** Total size of the former versions of all services. */
    private static final long MAXIMUM_HISTORY_BYTES = 4L * 1024 * 1024;

    private final TreeMap<String, Deque<Version>> byService = new TreeMap<>();
    private long historyBytes;

    /** Applies a change at its position in the stream; false if it is void there. */
    boolean apply(RawRecord record, DocumentChange change) {
        if (change.basedOnVersion() != currentVersion(change.service()) || !isTeamAllowed(change)) {
            return false;
        }
        if (change.document().isPresent() && liveCount() >= MAXIMUM_LIVE_SERVICES && !isLive(change.service())) {
            return false;
        }
        put(record, change);
        return true;
    }

    /** Adds a version that is known to be valid, such as one from a checkpoint. */
    void put(RawRecord record, DocumentChange change) {
        Deque<Version> versions = byService.computeIfAbsent(change.service(), ignored -> new ArrayDeque<>());
        if (!versions.isEmpty()) {
            historyBytes += versions.peekLast().record().record().length;
        }
        versions.addLast(new Version(record, versioned(record.offset(), change)));
        if (versions.size() > MAXIMUM_VERSIONS_PER_SERVICE) {
            dropFirst(versions);
        }
        trimHistory();
        trimRemovedServices();
    }

    long currentVersion(String service) {
        return current(service).map(VersionedDocument::version).orElse(ConfigurationChange.NO_VERSION);
    }

    /** The newest version, even if it is a removal. */
    Optional<VersionedDocument> current(String service) {
        return Optional.ofNullable(byService.get(service)).map(Deque::peekLast).map(Version::document);
    }

    List<VersionedDocument> live() {
        return byService.values().stream()
                .map(versions -> versions.peekLast().document())
                .filter(Predicate.not(VersionedDocument::isRemoved))
                .toList();
    }

    List<VersionedDocument> history(String service) {
        return byService.getOrDefault(service, new ArrayDeque<>()).stream()
                .map(Version::document)
                .toList();
    }

    /** All kept records, in stream order. */
    List<RawRecord> records() {
        List<RawRecord> records = new ArrayList<>();
        byService.values().forEach(versions -> versions.forEach(version -> records.add(version.record())));
        records.sort(Comparator.comparingLong(RawRecord::offset));
        return records;
    }

    private boolean isTeamAllowed(DocumentChange change) {
        boolean isOwnDocument = change.document()
                .map(document ->
                        document.team().equals(change.team()) && document.name().equals(change.service()))
                .orElse(true);
        boolean isOwnService = current(change.service())
                .filter(Predicate.not(VersionedDocument::isRemoved))
                .map(existing -> existing.team().equals(change.team()))
                .orElse(true);
        return isOwnDocument && isOwnService;
    }

    private boolean isLive(String service) {
        return current(service)
                .filter(Predicate.not(VersionedDocument::isRemoved))
                .isPresent();
    }

    private long liveCount() {
        return byService.values().stream()
                .filter(versions -> !versions.peekLast().document().isRemoved())
                .count();
    }

    private void trimHistory() {
        while (historyBytes > MAXIMUM_HISTORY_BYTES) {
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

    private void trimRemovedServices() {
        if (byService.size() - liveCount() <= MAXIMUM_REMOVED_SERVICES) {
            return;
        }
        byService.entrySet().stream()
                .filter(entry -> entry.getValue().peekLast().document().isRemoved())
                .min(Comparator.comparingLong(
                        entry -> entry.getValue().peekLast().record().offset()))
                .ifPresent(entry -> removeService(entry.getKey()));
    }

    private void removeService(String service) {
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

    private record Version(RawRecord record, VersionedDocument document) {}
}
