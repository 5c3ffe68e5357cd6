package org.quetzalshunt.core.limit;

/**
 * Least free room of one bucket since any past moment, in micro-tokens.
 *
 * <p>Guards against a token that counts twice: a bucket that ran full since a token was taken has already replaced it by
 * accrual, and giving it back would admit one request more than rate and burst. It would show as a window over its bound
 * just after a backlog was refused. A token goes back only into room that was free all the time since it was taken; then
 * the bucket is as if it had never been taken.
 *
 * <p>Kept as marks of rising time and rising room: the room of a mark is the least since the mark before it.
 */
final class Headroom {
    /** Marks kept. Beyond them the two oldest merge, which can only refuse a give-back, never grant one too many. */
    private static final int MOST_MARKS = 64;

    private final long[] moments = new long[MOST_MARKS];
    private final long[] rooms = new long[MOST_MARKS];
    private int size;
    private long moment;

    /** Notes the free room now, and returns the moment, by which a taken token is named later. */
    long note(long room) {
        while (size > 0 && rooms[size - 1] >= room) {
            size--;
        }
        if (size == MOST_MARKS) {
            mergeOldest();
        }
        moment++;
        moments[size] = moment;
        rooms[size] = room;
        size++;
        return moment;
    }

    /** Takes room for a token given back, if that much was free ever since the moment. */
    boolean use(long since, long microTokens) {
        int first = firstSince(since);
        if (first == size || rooms[first] < microTokens) {
            return false;
        }
        for (int index = first; index < size; index++) {
            rooms[index] -= microTokens;
        }
        dropCovered(first);
        return true;
    }

    private int firstSince(long since) {
        int index = 0;
        while (index < size && moments[index] < since) {
            index++;
        }
        return index;
    }

    /** Drops marks before one whose room has sunk to theirs or below. */
    private void dropCovered(int first) {
        int kept = first;
        while (kept > 0 && rooms[kept - 1] >= rooms[first]) {
            kept--;
        }
        int dropped = first - kept;
        System.arraycopy(moments, first, moments, kept, size - first);
        System.arraycopy(rooms, first, rooms, kept, size - first);
        size -= dropped;
    }

    private void mergeOldest() {
        moments[0] = moments[1];
        System.arraycopy(moments, 2, moments, 1, size - 2);
        System.arraycopy(rooms, 2, rooms, 1, size - 2);
        size--;
    }
}
