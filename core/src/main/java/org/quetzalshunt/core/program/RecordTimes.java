package org.quetzalshunt.core.program;

/** Reads the timestamp of a record, which was set by the clock of the process that wrote it. */
final class RecordTimes {
    private RecordTimes() {}

    /** Timestamp in milliseconds since the Unix epoch; 0 for a record type without one. */
    static long of(ShardRecord record) {
        if (record instanceof ShardRecord.ProgramCreated created) {
            return created.createdMillis();
        }
        if (record instanceof ShardRecord.TurnEnded ended) {
            return ended.endedMillis();
        }
        if (record instanceof ShardRecord.CallIntent intent) {
            return intent.intendedMillis();
        }
        if (record instanceof ShardRecord.CallEnded ended) {
            return ended.endedMillis();
        }
        if (record instanceof ShardRecord.ProgramEnded ended) {
            return ended.endedMillis();
        }
        return 0;
    }
}
