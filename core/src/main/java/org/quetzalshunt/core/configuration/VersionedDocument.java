package org.quetzalshunt.core.configuration;

import java.util.Optional;
import org.quetzalshunt.core.document.ServiceDocument;

/**
 * One version of a service's document.
 *
 * @param service name of the service
 * @param version offset of the record that put it
 * @param document the document; empty if this version removed the service
 * @param team team that owns it
 * @param author author of the change that put it; the team, for changes made through the admin API
 * @param putMillis time at which it was put, by the clock of the VM that received the change
 * @param sourceText source text of the document as submitted; empty if this version removed the service
 */
public record VersionedDocument(
        String service,
        long version,
        Optional<ServiceDocument> document,
        String team,
        String author,
        long putMillis,
        String sourceText) {
    /** Whether this version removed the service. */
    public boolean isRemoved() {
        return document.isEmpty();
    }
}
