package org.quetzalshunt.core.configuration;

/** Writes a change as the octets that a {@link RecordReader} reads. */
@FunctionalInterface
public interface RecordWriter {
    /** Octets of the change. */
    byte[] write(ConfigurationChange change);
}
