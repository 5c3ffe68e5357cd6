package org.quetzalshunt.server.entry;

import org.quetzalshunt.core.log.LogFold;

/** Folds that go beside the configuration's on its stream. */
final class LimitFold {
    private LimitFold() {}

    /** A fold that takes nothing. */
    static LogFold none() {
        return new LogFold() {
            @Override
            public void apply(long offset, byte[] record, int indexInBatch) {}

            @Override
            public void gap(long firstKept) {}
        };
    }
}
