package org.quetzalshunt.core.configuration;

/**
 * A decodable record, valid or not, at its position in the stream. Its bytes are kept so that checkpoints contain it
 * unchanged.
 *
 * @param offset offset of the record
 * @param record bytes of the record
 */
record RawRecord(long offset, byte[] record) {}
