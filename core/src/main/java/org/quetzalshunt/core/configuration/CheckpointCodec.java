package org.quetzalshunt.core.configuration;

import java.util.Optional;
import org.quetzalshunt.core.log.StateReader;
import org.quetzalshunt.core.log.StateWriter;

/**
 * Compressed binary encoding of a {@link ConfigurationState}: number of records, then offset and bytes of each; number
 * of outcomes, then change id, whether it was accepted, and version of each.
 */
final class CheckpointCodec {
    private CheckpointCodec() {}

    static byte[] encode(ConfigurationState state) {
        StateWriter writer = StateWriter.create();
        writer.putInt(state.records().size());
        for (RawRecord record : state.records()) {
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

    /** Decodes a state; empty if the bytes are corrupt or contain a record that cannot be read. */
    static Optional<ConfigurationState> decode(byte[] bytes, RecordReader recordReader) {
        return StateReader.readCompressed(bytes, reader -> read(reader, recordReader));
    }

    private static Optional<ConfigurationState> read(StateReader reader, RecordReader recordReader) {
        ConfigurationState state = new ConfigurationState();
        int records = reader.getInt();
        for (int index = 0; index < records; index++) {
            RawRecord record = new RawRecord(reader.getLong(), reader.getBytes());
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
