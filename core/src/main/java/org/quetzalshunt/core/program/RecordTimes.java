package org.quetzalshunt.core.program;

/** The time that a record names, by the clock of the process that wrote it. */
final class RecordTimes {
    private RecordTimes() {}

    /** Time in milliseconds since the epoch; 0 for a record that names none. */
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
