package org.quetzalshunt.core.configuration;

/**
 * A record that was valid where it stood, kept as it was, so that a checkpoint hands on the very same octets.
 *
 * @param offset where it stood
 * @param record its octets
 */
record AcceptedRecord(long offset, byte[] record) {}
