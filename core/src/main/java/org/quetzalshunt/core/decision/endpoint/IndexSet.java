package org.quetzalshunt.core.decision.endpoint;

import java.util.Arrays;

/** Set of small integers with constant time for add, remove and a pick by number, so that sampling needs no scan. */
final class IndexSet {
    private static final int ABSENT = -1;
    private static final int FIRST_CAPACITY = 16;

    private int[] members = new int[FIRST_CAPACITY];
    private int[] places = new int[0];
    private int size;

    int size() {
        return size;
    }

    int get(int number) {
        return members[number];
    }

    boolean contains(int member) {
        return member < places.length && places[member] != ABSENT;
    }

    void set(int member, boolean present) {
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
        if (member >= places.length) {
            int oldLength = places.length;
            places = Arrays.copyOf(places, Math.max(FIRST_CAPACITY, 2 * (member + 1)));
            Arrays.fill(places, oldLength, places.length, ABSENT);
        }
        if (size == members.length) {
            members = Arrays.copyOf(members, 2 * size);
        }
        members[size] = member;
        places[member] = size++;
    }

    private void remove(int member) {
        int place = places[member];
        int last = members[--size];
        members[place] = last;
        places[last] = place;
        places[member] = ABSENT;
    }
}
