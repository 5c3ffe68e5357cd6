package org.quetzalshunt.core.configuration;

/**
 * A record of the configuration stream with its offset. The original bytes are retained so that checkpoints contain the
 * record unchanged.
 */
record RawRecord(long offset, byte[] record) {}
