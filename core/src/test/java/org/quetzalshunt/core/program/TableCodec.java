package org.quetzalshunt.core.program;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.agrona.concurrent.UnsafeBuffer;

/** Replaces the Thrift codec in tests: a record is encoded as its index in a table shared by all nodes of a test. */
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
