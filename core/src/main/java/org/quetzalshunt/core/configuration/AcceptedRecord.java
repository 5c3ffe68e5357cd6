package org.quetzalshunt.core.configuration;

/**
 * A record that was valid at its position in the stream. Its bytes are kept so that checkpoints contain it unchanged.
 *
 * @param offset offset of the record
 * @param record bytes of the record
 */
record AcceptedRecord(long offset, byte[] record) {}
