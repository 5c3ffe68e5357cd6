package org.quetzalshunt.core.log;

import java.util.List;

/**
 * Answer of the log service to a read.
 *
 * @param first oldest offset still kept
 * @param next offset that the next append gets
 * @param entries records from the offset asked for on, contiguous; a part of what is there when that is large
 */
public record ReadAnswer(long first, long next, List<LogEntry> entries) {}
