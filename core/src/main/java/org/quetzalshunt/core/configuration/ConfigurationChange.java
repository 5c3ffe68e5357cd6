package org.quetzalshunt.core.configuration;

import java.util.Optional;
import org.quetzalshunt.core.document.ServiceDocument;
import org.quetzalshunt.core.limit.LimitGenerationRecord;

/** A record of the configuration stream, read. */
public sealed interface ConfigurationChange {
    /** Version on which the first document of a service is based. */
    long NO_VERSION = -1;

    /**
     * A document is put or taken away.
     *
     * @param service name of the service
     * @param basedOnVersion version that the author saw, {@link #NO_VERSION} for a service that never was
     * @param team team on whose behalf it is put
     * @param author who puts it
     * @param putMillis when, by the clock of the VM that took it
     * @param changeId unique name of the change, by which its author finds what became of it
     * @param document what is declared; empty to remove the service
     * @param sourceText text as its author wrote it
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
     * What the system made of something, for operators.
     *
     * @param author who or what caused it
     * @param notedMillis when, by the clock of the VM that noted it
     * @param resultCode number of the result code
     * @param service service that it is about
     * @param detail what happened; never content, never a key
     */
    record AuditEntry(String author, long notedMillis, int resultCode, String service, String detail)
            implements ConfigurationChange {}

    /**
     * The set of VMs that share the client accounts' rates.
     *
     * @param generation who has a part, and which generation it follows
     * @param notedMillis when, by the proposer's clock
     */
    record LimitGenerationChange(LimitGenerationRecord generation, long notedMillis) implements ConfigurationChange {}

    /**
     * A part of the state below an offset, for readers that start after retention.
     *
     * @param coversBelow offset below which the state replaces all records
     * @param part number of this part, from 0
     * @param parts number of parts
     * @param state octets of the part
     */
    record CheckpointChange(long coversBelow, int part, int parts, byte[] state) implements ConfigurationChange {}

    /**
     * A record of a subsystem, which the configuration does not read itself.
     *
     * @param kind name of the subsystem's record
     * @param payload its octets
     */
    record OpaqueChange(String kind, byte[] payload) implements ConfigurationChange {}
}
