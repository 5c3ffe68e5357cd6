package org.quetzalshunt.core.log;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Records the calls it receives. */
final class RecordingFold implements LogFold {
    final List<String> records = new ArrayList<>();
    final List<String> positions = new ArrayList<>();
    final List<Long> gaps = new ArrayList<>();
    final List<Long> malformed = new ArrayList<>();

    @Override
    public void apply(long offset, byte[] record, int indexInBatch) {
        String text = new String(record, StandardCharsets.UTF_8);
        records.add(text);
        positions.add(offset + "/" + indexInBatch + " " + text);
    }

    @Override
    public void onGap(long firstKept) {
        gaps.add(firstKept);
    }

    @Override
    public void onMalformedEntry(long offset) {
        malformed.add(offset);
    }
}
