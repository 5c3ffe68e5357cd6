package org.quetzalshunt.core.limit;

/**
 * Records the least free room of one bucket since each recorded point in time, in micro-tokens.
 *
 * <p>Guards against a token that counts twice. If the bucket has been full since a token was taken, accrual has already
 * replaced that token, and returning it would admit one request more than rate and burst allow, for example just after
 * a backlog was refused. A token is returned only into room that was free for the whole time since it was taken. The
 * bucket is then as if the token had never been taken.
 *
 * <p>Stored as marks with ascending sequence number and ascending room. The room of a mark is the least room since the
 * mark before it.
 */
final class FreeRoomHistory {
    /**
     * Number of marks kept. Beyond it, the two oldest merge, which can only refuse the return of a token, never allow
     * one too many.
     */
    private static final int MAXIMUM_MARKS = 64;

    private final long[] sequences = new long[MAXIMUM_MARKS];
    private final long[] rooms = new long[MAXIMUM_MARKS];
    private int size;
    private long sequence;

    /** Records the current free room. Returns its sequence number, which identifies a token that is taken now. */
    long recordRoom(long room) {
        while (size > 0 && rooms[size - 1] >= room) {
            size--;
        }
        if (size == MAXIMUM_MARKS) {
            mergeOldest();
        }
        sequence++;
        sequences[size] = sequence;
        rooms[size] = room;
        size++;
        return sequence;
    }

    /** Uses room for a returned token, if that much room was free since the sequence number. */
    boolean tryUse(long since, long microTokens) {
        int first = firstSince(since);
        if (first == size || rooms[first] < microTokens) {
            return false;
        }
        for (int index = first; index < size; index++) {
            rooms[index] -= microTokens;
        }
        dropDominated(first);
        return true;
    }

    private int firstSince(long since) {
        int index = 0;
        while (index < size && sequences[index] < since) {
            index++;
        }
        return index;
    }

    /** Drops the marks before a mark whose room has fallen to theirs or below. */
    private void dropDominated(int first) {
        int kept = first;
        while (kept > 0 && rooms[kept - 1] >= rooms[first]) {
            kept--;
        }
        int dropped = first - kept;
        System.arraycopy(sequences, first, sequences, kept, size - first);
        System.arraycopy(rooms, first, rooms, kept, size - first);
        size -= dropped;
    }

    private void mergeOldest() {
        sequences[0] = sequences[1];
        System.arraycopy(sequences, 2, sequences, 1, size - 2);
        System.arraycopy(rooms, 2, rooms, 1, size - 2);
        size--;
    }
}
