package org.quetzalshunt.core.program;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The messages of one program in order, with a hash chain over them. Each link is the SHA-256 of the previous link and
 * the message, so that one hash identifies the whole history.
 */
final class History {
    private static final byte[] EMPTY_HASH = new byte[32];

    private final List<byte[]> messages = new ArrayList<>();
    private byte[] hash = EMPTY_HASH;
    private long bytes;

    void append(byte[] message) {
        messages.add(message);
        hash = Digests.sha256(hash, message);
        bytes += message.length;
    }

    /** Frees the messages of an ended program; its results are kept in {@link ResultTable}. */
    void clear() {
        messages.clear();
        hash = EMPTY_HASH;
        bytes = 0;
    }

    byte[] hash() {
        return hash;
    }

    int size() {
        return messages.size();
    }

    long bytes() {
        return bytes;
    }

    List<byte[]> messages() {
        return messages;
    }

    /** Whether the list starts with all messages of this history. */
    boolean isPrefixOf(List<byte[]> list) {
        if (list.size() < messages.size()) {
            return false;
        }
        byte[] chain = EMPTY_HASH;
        for (int index = 0; index < messages.size(); index++) {
            chain = Digests.sha256(chain, list.get(index));
        }
        return Arrays.equals(chain, hash);
    }

    /** Whether both have the same first message; if so, the caller probably sent the whole conversation. */
    boolean sharesFirstMessage(List<byte[]> list) {
        return !messages.isEmpty() && !list.isEmpty() && Arrays.equals(messages.get(0), list.get(0));
    }
}
