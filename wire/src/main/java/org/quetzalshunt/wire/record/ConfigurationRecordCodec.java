package org.quetzalshunt.wire.record;

import java.util.Optional;
import org.quetzalshunt.core.configuration.ConfigurationChange;
import org.quetzalshunt.core.configuration.ConfigurationChange.AuditEntry;
import org.quetzalshunt.core.configuration.ConfigurationChange.CheckpointChange;
import org.quetzalshunt.core.configuration.ConfigurationChange.DocumentChange;
import org.quetzalshunt.core.configuration.ConfigurationChange.LimitGenerationChange;
import org.quetzalshunt.core.configuration.ConfigurationChange.OpaqueChange;
import org.quetzalshunt.core.document.ServiceDocument;
import org.quetzalshunt.wire.document.DocumentReader;
import org.quetzalshunt.wire.generated.AuditNote;
import org.quetzalshunt.wire.generated.ConfigurationCheckpoint;
import org.quetzalshunt.wire.generated.ConfigurationRecord;
import org.quetzalshunt.wire.generated.DocumentPut;
import org.quetzalshunt.wire.generated.Opaque;
import org.quetzalshunt.wire.message.MessageCodec;

/** Encodes configuration changes as records of the configuration stream and decodes them. */
public final class ConfigurationRecordCodec {
    /** Maximum size of a record, such that a batch frame with the record fits into one append. */
    public static final int MAXIMUM_RECORD_BYTES = 900_000;

    /** Maximum size of a part of the state in a checkpoint, such that its record is within the bound for records. */
    public static final int MAXIMUM_STATE_PART_BYTES = 800_000;

    private static final int MAXIMUM_NAME_LENGTH = 256;
    private static final int MAXIMUM_DETAIL_LENGTH = 4_096;

    private ConfigurationRecordCodec() {}

    /** Encodes a change. */
    public static byte[] encode(ConfigurationChange change) {
        return MessageCodec.encode(toRecord(change));
    }

    /** Decodes a record; empty if it is malformed, invalid, out of bounds, or of a kind from a newer version. */
    public static Optional<ConfigurationChange> decode(byte[] octets) {
        ConfigurationRecord record = new ConfigurationRecord();
        if (octets.length > MAXIMUM_RECORD_BYTES || !MessageCodec.decode(octets, record) || !record.isSet()) {
            return Optional.empty();
        }
        return switch (record.getSetField()) {
            case DOCUMENT_PUT -> fromDocumentPut(record.getDocumentPut());
            case AUDIT_NOTE -> fromAuditNote(record.getAuditNote());
            case LIMIT_GENERATION -> LimitGenerationCodec.read(record.getLimitGeneration());
            case CHECKPOINT -> fromCheckpoint(record.getCheckpoint());
            case OPAQUE -> fromOpaque(record.getOpaque());
        };
    }

    private static ConfigurationRecord toRecord(ConfigurationChange change) {
        if (change instanceof DocumentChange document) {
            return ConfigurationRecord.documentPut(toDocumentPut(document));
        }
        if (change instanceof AuditEntry entry) {
            return ConfigurationRecord.auditNote(new AuditNote(
                    entry.author(), entry.notedMillis(), entry.resultCode(), entry.service(), entry.detail()));
        }
        if (change instanceof LimitGenerationChange generation) {
            return ConfigurationRecord.limitGeneration(LimitGenerationCodec.write(generation));
        }
        if (change instanceof CheckpointChange checkpoint) {
            return ConfigurationRecord.checkpoint(toCheckpoint(checkpoint));
        }
        OpaqueChange opaque = (OpaqueChange) change;
        return ConfigurationRecord.opaque(new Opaque().setKind(opaque.kind()).setPayload(opaque.payload()));
    }

    private static DocumentPut toDocumentPut(DocumentChange change) {
        return new DocumentPut(
                change.service(),
                change.basedOnVersion(),
                change.team(),
                change.author(),
                change.putMillis(),
                change.changeId(),
                change.document().isEmpty(),
                change.sourceText());
    }

    private static ConfigurationCheckpoint toCheckpoint(CheckpointChange change) {
        ConfigurationCheckpoint checkpoint = new ConfigurationCheckpoint();
        checkpoint.setCoversBelow(change.coversBelow());
        checkpoint.setState(change.state());
        checkpoint.setPart(change.part());
        checkpoint.setParts(change.parts());
        return checkpoint;
    }

    private static Optional<ConfigurationChange> fromDocumentPut(DocumentPut put) {
        if (!areValidNames(put.getServiceName(), put.getTeam(), put.getAuthor(), put.getChange())
                || put.getDocument() == null) {
            return Optional.empty();
        }
        Optional<ServiceDocument> document = put.isRemoved()
                ? Optional.empty()
                : DocumentReader.read(put.getDocument()).toOptional();
        if (!put.isRemoved() && document.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new DocumentChange(
                put.getServiceName(),
                put.getBasedOnVersion(),
                put.getTeam(),
                put.getAuthor(),
                put.getPutMillis(),
                put.getChange(),
                document,
                put.getDocument()));
    }

    private static Optional<ConfigurationChange> fromAuditNote(AuditNote note) {
        if (!areValidNames(note.getAuthor(), note.getServiceName())
                || note.getDetail() == null
                || note.getDetail().length() > MAXIMUM_DETAIL_LENGTH) {
            return Optional.empty();
        }
        return Optional.of(new AuditEntry(
                note.getAuthor(),
                note.getNotedMillis(),
                note.getResultCode(),
                note.getServiceName(),
                note.getDetail()));
    }

    private static Optional<ConfigurationChange> fromCheckpoint(ConfigurationCheckpoint checkpoint) {
        if (checkpoint.getState() == null) {
            return Optional.empty();
        }
        int part = checkpoint.isSetPart() ? checkpoint.getPart() : 0;
        int parts = checkpoint.isSetParts() ? checkpoint.getParts() : 1;
        return Optional.of(new CheckpointChange(checkpoint.getCoversBelow(), part, parts, checkpoint.getState()));
    }

    private static Optional<ConfigurationChange> fromOpaque(Opaque opaque) {
        if (!areValidNames(opaque.getKind()) || opaque.getPayload() == null) {
            return Optional.empty();
        }
        return Optional.of(new OpaqueChange(opaque.getKind(), opaque.getPayload()));
    }

    /** Whether all names are present and within the maximum length of a name. */
    static boolean areValidNames(String... names) {
        for (String name : names) {
            if (name == null || name.length() > MAXIMUM_NAME_LENGTH) {
                return false;
            }
        }
        return true;
    }
}
