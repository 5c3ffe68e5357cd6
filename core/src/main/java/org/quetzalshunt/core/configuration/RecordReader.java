package org.quetzalshunt.core.configuration;

import java.util.Optional;

/** Decodes the records of the configuration stream. Must return the same result for the same bytes in every process. */
@FunctionalInterface
public interface RecordReader {
    /** Decodes a change; empty if the bytes are malformed or the change exceeds a limit. */
    Optional<ConfigurationChange> read(byte[] record);
}
