package org.quetzalshunt.core.configuration;

import java.util.Optional;

/** Reads the octets of a record. Must give the same answer for the same octets at every process. */
@FunctionalInterface
public interface RecordReader {
    /** The change that the octets hold; empty when they hold none, or one beyond the bounds. */
    Optional<ConfigurationChange> read(byte[] record);
}
