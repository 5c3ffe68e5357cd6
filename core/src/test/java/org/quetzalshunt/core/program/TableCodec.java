package org.quetzalshunt.core.program;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.agrona.concurrent.UnsafeBuffer;

/** Stands for the Thrift form: the octets of a record are its number in a table that all nodes of a test share. */
final class TableCodec implements ShardRecordCodec {
    private final List<ShardRecord> records = new ArrayList<>();

    @Override
    public byte[] encode(ShardRecord record) {
        byte[] octets = new byte[Integer.BYTES];
        new UnsafeBuffer(octets).putInt(0, records.size());
        records.add(record);
        return octets;
    }

    @Override
    public Optional<ShardRecord> decode(byte[] bytes) {
        return Optional.of(records.get(new UnsafeBuffer(bytes).getInt(0)));
    }
}
