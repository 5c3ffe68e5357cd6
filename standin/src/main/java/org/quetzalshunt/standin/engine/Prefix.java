package org.quetzalshunt.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import org.quetzalshunt.wire.json.Json;

/**
 * Digests and token counts of the prefixes of a conversation: for each message, the digest of all messages up to and
 * including it, and their total number of tokens. Two conversations share the longest prefix with equal digests.
 */
final class Prefix {
    private static final int HEADER_BYTES = Integer.BYTES;
    private static final int MESSAGE_BYTES = Long.BYTES + Integer.BYTES;

    private final long[] digests;
    private final int[] cumulativeTokens;

    private Prefix(long[] digests, int[] cumulativeTokens) {
        this.digests = digests;
        this.cumulativeTokens = cumulativeTokens;
    }

    static Prefix of(JsonNode messages) {
        long[] digests = new long[messages.size()];
        int[] cumulativeTokens = new int[messages.size()];
        long digest = StandinAnswer.emptyDigest();
        int total = 0;
        for (int i = 0; i < digests.length; i++) {
            JsonNode message = messages.get(i);
            digest = StandinAnswer.extend(digest, message);
            total += StandinAnswer.tokens(message);
            digests[i] = digest;
            cumulativeTokens[i] = total;
        }
        return new Prefix(digests, cumulativeTokens);
    }

    /** The conversation extended by the answer of the assistant. */
    Prefix withAnswer(String text) {
        JsonNode message = Json.object().put("role", "assistant").put("content", text);
        long[] moreDigests = Arrays.copyOf(digests, digests.length + 1);
        int[] moreTokens = Arrays.copyOf(cumulativeTokens, cumulativeTokens.length + 1);
        moreDigests[digests.length] = StandinAnswer.extend(lastDigest(), message);
        moreTokens[cumulativeTokens.length] = totalTokens() + StandinAnswer.tokens(message);
        return new Prefix(moreDigests, moreTokens);
    }

    int totalTokens() {
        return cumulativeTokens.length == 0 ? 0 : cumulativeTokens[cumulativeTokens.length - 1];
    }

    long lastDigest() {
        return digests.length == 0 ? StandinAnswer.emptyDigest() : digests[digests.length - 1];
    }

    int sharedTokens(Prefix other) {
        int shared = 0;
        int common = Math.min(digests.length, other.digests.length);
        for (int i = 0; i < common && digests[i] == other.digests[i]; i++) {
            shared = cumulativeTokens[i];
        }
        return shared;
    }

    byte[] toBytes() {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + digests.length * MESSAGE_BYTES);
        buffer.putInt(digests.length);
        for (int i = 0; i < digests.length; i++) {
            buffer.putLong(digests[i]).putInt(cumulativeTokens[i]);
        }
        return buffer.array();
    }

    static Optional<Prefix> fromBytes(byte[] bytes) {
        if (bytes.length < HEADER_BYTES || (bytes.length - HEADER_BYTES) % MESSAGE_BYTES != 0) {
            return Optional.empty();
        }
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        int count = buffer.getInt();
        if (count != (bytes.length - HEADER_BYTES) / MESSAGE_BYTES) {
            return Optional.empty();
        }
        long[] digests = new long[count];
        int[] cumulativeTokens = new int[count];
        for (int i = 0; i < count; i++) {
            digests[i] = buffer.getLong();
            cumulativeTokens[i] = buffer.getInt();
        }
        return Optional.of(new Prefix(digests, cumulativeTokens));
    }
}
