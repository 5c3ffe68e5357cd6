package org.quetzalshunt.core.log;

/**
 * One entry of a stream, as stored by the log service.
 *
 * @param offset position in the stream, counted from 0 without gaps
 * @param data appended bytes; must not be modified
 */
public record LogEntry(long offset, byte[] data) {}
