package org.quetzalshunt.core.program;

import java.util.Optional;

/** Encodes and decodes shard records. Implemented outside the core, which does not depend on a wire format. */
public interface ShardRecordCodec {
    /** Encodes a record. */
    byte[] encode(ShardRecord record);

    /** Decodes a record; empty if the bytes are malformed. Readers skip such bytes. */
    Optional<ShardRecord> decode(byte[] bytes);
}
