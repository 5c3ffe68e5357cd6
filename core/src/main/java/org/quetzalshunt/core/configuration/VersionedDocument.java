package org.quetzalshunt.core.configuration;

import java.util.Optional;
import org.quetzalshunt.core.document.ServiceDocument;

/**
 * One version of a service's document.
 *
 * @param service name of the service
 * @param version offset of the record that brought it
 * @param document what was declared; empty when the service was removed
 * @param team team that owns it
 * @param author who put it
 * @param putMillis when it was put, by the clock of the VM that took it
 * @param sourceText text as its author wrote it
 */
public record VersionedDocument(
        String service,
        long version,
        Optional<ServiceDocument> document,
        String team,
        String author,
        long putMillis,
        String sourceText) {
    /** Whether this version takes the service away. */
    public boolean removed() {
        return document.isEmpty();
    }
}
