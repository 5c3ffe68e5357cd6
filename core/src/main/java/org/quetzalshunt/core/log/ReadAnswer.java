package org.quetzalshunt.core.log;

import java.util.List;

/**
 * Answer of the log service to a read.
 *
 * @param first oldest offset that the log still keeps
 * @param next offset that the next append will get
 * @param entries consecutive entries from the requested offset on; may end before {@code next}
 */
public record ReadAnswer(long first, long next, List<LogEntry> entries) {}
