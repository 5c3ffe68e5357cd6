package org.quetzalshunt.server.gateway;

import java.util.ArrayList;
import java.util.List;
import org.quetzalshunt.core.memory.ResponseBudget;

/** Collects the body of a response, within the budget of all responses of this VM. */
final class ResponseBuffer {
    private final ResponseBudget.Account account;
    private final List<byte[]> chunks = new ArrayList<>();
    private int size;

    ResponseBuffer(ResponseBudget budget) {
        this.account = budget.open();
    }

    /** Adds a part of the body; false if the response must be ended because it is too large. */
    boolean add(byte[] data) {
        chunks.add(data);
        size += data.length;
        return account.set(size);
    }

    int size() {
        return size;
    }

    /** Removes all data, and returns it to the budget. */
    void clear() {
        chunks.clear();
        size = 0;
        account.set(0);
    }

    byte[] toByteArray() {
        byte[] body = new byte[size];
        int position = 0;
        for (byte[] chunk : chunks) {
            System.arraycopy(chunk, 0, body, position, chunk.length);
            position += chunk.length;
        }
        return body;
    }
}
