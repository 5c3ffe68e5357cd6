package org.quetzalshunt.core.log;

/**
 * One record of a stream as the log service keeps it.
 *
 * @param offset place in the stream, counted from 0 without gaps
 * @param data octets as they were appended; not to be changed
 */
public record LogEntry(long offset, byte[] data) {}
