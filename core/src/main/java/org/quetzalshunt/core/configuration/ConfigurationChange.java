package org.quetzalshunt.core.configuration;

import java.util.Optional;
import org.quetzalshunt.core.document.ServiceDocument;
import org.quetzalshunt.core.limit.LimitGenerationRecord;

/** A decoded record of the configuration stream. */
public sealed interface ConfigurationChange {
    /**
     * Version of a service that has no document, and base version of its first document. Also stands for the absence of
     * a limit generation.
     */
    long NO_VERSION = -1;

    /**
     * Puts or removes a service's document.
     *
     * @param service name of the service
     * @param basedOnVersion version that the change replaces; {@link #NO_VERSION} for a service without a known version
     * @param team team on whose behalf the change is made
     * @param author author of the change; the team, for changes made through the admin API
     * @param putMillis time at which the change was submitted, by the clock of the VM that received it
     * @param changeId unique id of the change, by which its outcome can be found
     * @param document new document; empty to remove the service
     * @param sourceText source text of the document as submitted; empty for a removal
     */
    record DocumentChange(
            String service,
            long basedOnVersion,
            String team,
            String author,
            long putMillis,
            String changeId,
            Optional<ServiceDocument> document,
            String sourceText)
            implements ConfigurationChange {}

    /**
     * An audit entry on how the system handled an event. Read from existing streams; this version writes none.
     *
     * @param author person or component that caused the event
     * @param notedMillis time of the entry, by the clock of the VM that wrote it
     * @param resultCode number of the result code
     * @param service service that the event concerns
     * @param detail description of the event; never contains request content or keys
     */
    record AuditEntry(String author, long notedMillis, int resultCode, String service, String detail)
            implements ConfigurationChange {}

    /**
     * Replaces the set of VMs that share the client accounts' rates.
     *
     * @param generation new generation: the VMs with a share, and the offset of the generation that it replaces
     * @param notedMillis time of the proposal, by the proposer's clock
     */
    record LimitGenerationChange(LimitGenerationRecord generation, long notedMillis) implements ConfigurationChange {}

    /**
     * One part of a snapshot of the state below an offset. It is for readers that can no longer read the records below
     * that offset, because retention has deleted them.
     *
     * @param coversBelow offset below which the snapshot replaces all records
     * @param part number of this part, from 0
     * @param parts number of parts
     * @param state bytes of the part
     */
    record CheckpointChange(long coversBelow, int part, int parts, byte[] state) implements ConfigurationChange {}

    /**
     * A record that belongs to another subsystem. The configuration ignores such records.
     *
     * @param kind type of the subsystem's record
     * @param payload bytes of the record
     */
    record OpaqueChange(String kind, byte[] payload) implements ConfigurationChange {}
}
