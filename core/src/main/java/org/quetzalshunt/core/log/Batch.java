package org.quetzalshunt.core.log;

import java.util.List;

/**
 * What one append carries.
 *
 * @param writer unique name of the writing process's life
 * @param sequence number of the batch at its writer, rising
 * @param basedOn fold position of the writer when it made the batch; see {@link WriterTable}
 * @param records octets of each record
 */
record Batch(String writer, long sequence, long basedOn, List<byte[]> records) {}
