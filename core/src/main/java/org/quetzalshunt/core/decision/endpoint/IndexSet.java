package org.quetzalshunt.core.decision.endpoint;

import java.util.Arrays;

/** Set of small integers with add, remove and access by position in constant time, so that sampling needs no scan. */
final class IndexSet {
    private static final int ABSENT = -1;
    private static final int INITIAL_CAPACITY = 16;

    private int[] members = new int[INITIAL_CAPACITY];
    private int[] positions = new int[0];
    private int size;

    int size() {
        return size;
    }

    int get(int position) {
        return members[position];
    }

    boolean contains(int member) {
        return member < positions.length && positions[member] != ABSENT;
    }

    void setPresent(int member, boolean present) {
        if (present == contains(member)) {
            return;
        }
        if (present) {
            add(member);
        } else {
            remove(member);
        }
    }

    private void add(int member) {
        if (member >= positions.length) {
            int oldLength = positions.length;
            positions = Arrays.copyOf(positions, Math.max(INITIAL_CAPACITY, 2 * (member + 1)));
            Arrays.fill(positions, oldLength, positions.length, ABSENT);
        }
        if (size == members.length) {
            members = Arrays.copyOf(members, 2 * size);
        }
        members[size] = member;
        positions[member] = size++;
    }

    private void remove(int member) {
        int position = positions[member];
        int last = members[--size];
        members[position] = last;
        positions[last] = position;
        positions[member] = ABSENT;
    }
}
