package org.quetzalshunt.core.configuration;

import java.util.Optional;
import org.quetzalshunt.core.log.StateReader;
import org.quetzalshunt.core.log.StateWriter;

/**
 * Binary form of a {@link ConfigurationState}: count of records, then offset and octets of each; count of outcomes, then
 * the change's id, whether it was accepted and its version.
 */
final class CheckpointForm {
    private CheckpointForm() {}

    static byte[] encode(ConfigurationState state) {
        StateWriter writer = StateWriter.create();
        writer.putInt(state.records().size());
        for (AcceptedRecord record : state.records()) {
            writer.putLong(record.offset());
            writer.putBytes(record.record());
        }
        writer.putInt(state.outcomes().size());
        state.outcomes().forEach((changeId, outcome) -> {
            writer.putText(changeId);
            writer.putBoolean(outcome.accepted());
            writer.putLong(outcome.version());
        });
        return writer.compressed();
    }

    /** Reads a state; empty when the octets are no state, or hold a record that the reader cannot read. */
    static Optional<ConfigurationState> decode(byte[] octets, RecordReader recordReader) {
        return StateReader.readCompressed(octets, reader -> read(reader, recordReader));
    }

    private static Optional<ConfigurationState> read(StateReader reader, RecordReader recordReader) {
        ConfigurationState state = new ConfigurationState();
        int records = reader.getInt();
        for (int index = 0; index < records; index++) {
            AcceptedRecord record = new AcceptedRecord(reader.getLong(), reader.getBytes());
            Optional<ConfigurationChange> change = recordReader.read(record.record());
            if (change.isEmpty() || !state.restore(record, change.get())) {
                return Optional.empty();
            }
        }
        int outcomes = reader.getInt();
        for (int index = 0; index < outcomes; index++) {
            String changeId = reader.getText();
            boolean accepted = reader.getBoolean();
            state.restoreOutcome(changeId, new ChangeOutcome(accepted, reader.getLong()));
        }
        return Optional.of(state);
    }
}
