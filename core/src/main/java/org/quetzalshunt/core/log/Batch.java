package org.quetzalshunt.core.log;

import java.util.List;

/**
 * A group of records that is appended as one log entry.
 *
 * @param writer unique id of one run of the writing process
 * @param sequence number of the batch, increasing per writer
 * @param basedOn offset up to which the writer had read the log when it created the batch; see {@link
 *     BatchDeduplicator}
 * @param records bytes of each record
 */
record Batch(String writer, long sequence, long basedOn, List<byte[]> records) {}
