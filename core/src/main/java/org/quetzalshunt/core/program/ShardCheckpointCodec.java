package org.quetzalshunt.core.program;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.TreeMap;
import org.quetzalshunt.core.log.StateReader;
import org.quetzalshunt.core.log.StateWriter;
import org.quetzalshunt.core.vm.VmId;

/** Binary encoding of a {@link ShardState}: ownership, programs sorted by id, results sorted by account and key. */
final class ShardCheckpointCodec {
    private ShardCheckpointCodec() {}

    static byte[] encode(ShardState state) {
        StateWriter writer = StateWriter.create();
        writer.putLong(state.epoch());
        writer.putLong(state.streamMillis());
        writer.putBoolean(state.owner().isPresent());
        state.owner().ifPresent(owner -> {
            writer.putText(owner.name());
            writer.putLong(owner.incarnation());
        });
        Map<String, Program> programs = new TreeMap<>();
        state.programs().forEach(program -> programs.put(program.id, program));
        writer.putInt(programs.size());
        programs.values().forEach(program -> putProgram(writer, program));
        writer.putInt(state.results().size());
        new TreeMap<>(state.results().all())
                .forEach((account, results) -> new TreeMap<>(results).forEach((key, result) -> {
                    writer.putText(account);
                    writer.putText(key);
                    putResult(writer, result);
                }));
        return writer.uncompressed();
    }

    /** Decodes a state; empty if the bytes are truncated. */
    static Optional<ShardState> decode(byte[] octets, long resultRetentionMillis) {
        return StateReader.readUncompressed(octets, reader -> Optional.of(read(reader, resultRetentionMillis)));
    }

    private static ShardState read(StateReader reader, long resultRetentionMillis) {
        ShardState state = new ShardState(resultRetentionMillis);
        long epoch = reader.getLong();
        long streamMillis = reader.getLong();
        Optional<VmId> owner =
                reader.getBoolean() ? Optional.of(VmId.of(reader.getText(), reader.getLong())) : Optional.empty();
        state.restoreOwner(epoch, owner, streamMillis);
        int programs = reader.getInt();
        for (int index = 0; index < programs; index++) {
            state.restoreProgram(getProgram(reader));
        }
        int results = reader.getInt();
        for (int index = 0; index < results; index++) {
            String account = reader.getText();
            String key = reader.getText();
            state.results().put(account, key, getResult(reader));
        }
        return state;
    }

    private static void putProgram(StateWriter writer, Program program) {
        writer.putText(program.id);
        writer.putText(program.clientAccount);
        writer.putBoolean(program.parent.isPresent());
        program.parent.ifPresent(writer::putText);
        writer.putLong(program.budgetTokens);
        writer.putLong(program.createdMillis);
        writer.putBoolean(program.implicitProgram);
        writer.putText(program.createdByRequestId);
        writer.putInt(program.turns);
        writer.putText(program.lastRequestId);
        writer.putText(program.lateChargedRequestId);
        writer.putLong(program.contextTokens);
        writer.putLong(program.spentTokens);
        writer.putLong(program.recordedReservationTokens);
        writer.putLong(program.lastActiveMillis);
        writer.putBoolean(program.isEnded());
        program.endedCode.ifPresent(writer::putInt);
        writer.putLong(program.endedMillis);
        writer.putInt(program.history.size());
        program.history.messages().forEach(writer::putBytes);
    }

    private static Program getProgram(StateReader reader) {
        String id = reader.getText();
        String account = reader.getText();
        Optional<String> parent = reader.getBoolean() ? Optional.of(reader.getText()) : Optional.empty();
        Program program = new Program(new ShardRecord.ProgramCreated(
                0, id, account, parent, reader.getLong(), 0, reader.getLong(), reader.getBoolean(), reader.getText()));
        program.turns = reader.getInt();
        program.lastRequestId = reader.getText();
        program.lateChargedRequestId = reader.getText();
        program.contextTokens = reader.getLong();
        program.spentTokens = reader.getLong();
        program.recordedReservationTokens = reader.getLong();
        program.lastActiveMillis = reader.getLong();
        program.endedCode = reader.getBoolean() ? OptionalInt.of(reader.getInt()) : OptionalInt.empty();
        program.endedMillis = reader.getLong();
        int messages = reader.getInt();
        for (int index = 0; index < messages; index++) {
            program.history.append(reader.getBytes());
        }
        return program;
    }

    private static void putResult(StateWriter writer, StoredResult result) {
        writer.putText(result.requestId());
        writer.putBytes(result.requestDigest());
        writer.putBoolean(result.ended());
        writer.putInt(result.resultCode());
        writer.putInt(result.answer().status());
        writer.putText(result.answer().contentType());
        writer.putBytes(result.answer().body());
        writer.putLong(result.recordedMillis());
    }

    private static StoredResult getResult(StateReader reader) {
        return new StoredResult(
                reader.getText(),
                reader.getBytes(),
                reader.getBoolean(),
                reader.getInt(),
                new StoredAnswer(reader.getInt(), reader.getText(), reader.getBytes()),
                reader.getLong());
    }
}
