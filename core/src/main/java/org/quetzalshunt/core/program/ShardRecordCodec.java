package org.quetzalshunt.core.program;

import java.util.Optional;

/** Turns records into bytes and back; implemented outside the core, which knows no encoding. */
public interface ShardRecordCodec {
    /** Bytes of a record. */
    byte[] encode(ShardRecord record);

    /** The record in the bytes; empty for bytes that are none, which a fold passes over. */
    Optional<ShardRecord> decode(byte[] bytes);
}
