package org.quetzalshunt.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Optional;
import org.quetzalshunt.wire.json.Json;

/**
 * A conversation as the cache sees it: after each message, the digest of all up to it and their tokens together.
 * Two conversations share the prefix on whose digests they agree.
 */
final class Prefix {
    private static final int HEADER_BYTES = Integer.BYTES;
    private static final int MESSAGE_BYTES = Long.BYTES + Integer.BYTES;

    private final long[] digests;
    private final int[] tokens;

    private Prefix(long[] digests, int[] tokens) {
        this.digests = digests;
        this.tokens = tokens;
    }

    static Prefix of(JsonNode messages) {
        long[] digests = new long[messages.size()];
        int[] tokens = new int[messages.size()];
        long digest = StandinAnswer.emptyDigest();
        int total = 0;
        for (int i = 0; i < digests.length; i++) {
            JsonNode message = messages.get(i);
            digest = StandinAnswer.extend(digest, message);
            total += StandinAnswer.tokens(message);
            digests[i] = digest;
            tokens[i] = total;
        }
        return new Prefix(digests, tokens);
    }

    /** The conversation with the assistant's answer as its next message. */
    Prefix withAnswer(String text) {
        JsonNode message = Json.object().put("role", "assistant").put("content", text);
        long[] moreDigests = Arrays.copyOf(digests, digests.length + 1);
        int[] moreTokens = Arrays.copyOf(tokens, tokens.length + 1);
        moreDigests[digests.length] = StandinAnswer.extend(lastDigest(), message);
        moreTokens[tokens.length] = totalTokens() + StandinAnswer.tokens(message);
        return new Prefix(moreDigests, moreTokens);
    }

    int totalTokens() {
        return tokens.length == 0 ? 0 : tokens[tokens.length - 1];
    }

    long lastDigest() {
        return digests.length == 0 ? StandinAnswer.emptyDigest() : digests[digests.length - 1];
    }

    int sharedTokens(Prefix other) {
        int shared = 0;
        int common = Math.min(digests.length, other.digests.length);
        for (int i = 0; i < common && digests[i] == other.digests[i]; i++) {
            shared = tokens[i];
        }
        return shared;
    }

    byte[] toBytes() {
        ByteBuffer buffer = ByteBuffer.allocate(HEADER_BYTES + digests.length * MESSAGE_BYTES);
        buffer.putInt(digests.length);
        for (int i = 0; i < digests.length; i++) {
            buffer.putLong(digests[i]).putInt(tokens[i]);
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
        int[] tokens = new int[count];
        for (int i = 0; i < count; i++) {
            digests[i] = buffer.getLong();
            tokens[i] = buffer.getInt();
        }
        return Optional.of(new Prefix(digests, tokens));
    }
}
