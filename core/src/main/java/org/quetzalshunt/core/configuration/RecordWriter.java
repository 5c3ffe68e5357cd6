package org.quetzalshunt.core.configuration;

/** Encodes the records of the configuration stream, which a {@link RecordReader} decodes. */
@FunctionalInterface
public interface RecordWriter {
    /** Encodes a change. */
    byte[] write(ConfigurationChange change);
}
