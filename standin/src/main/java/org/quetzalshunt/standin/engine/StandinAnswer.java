package org.quetzalshunt.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Answer of the stand-in engine to a list of messages, as words. The first word is a digest of the roles and contents
 * of all messages, from which the other words are derived. The answer has {@code N} words if the last message contains
 * {@code [words=N]}, otherwise 16 to 32, and never more than {@code max_tokens}.
 *
 * @param words tokens of the answer; the text joins them with single spaces
 * @param complete false if {@code max_tokens} truncated the answer; {@code finish_reason} is then {@code length}
 */
public record StandinAnswer(List<String> words, boolean complete) {
    private static final Pattern WORD_COUNT_MARKER = Pattern.compile("\\[words=(\\d{1,5})]");
    private static final int MINIMUM_WORDS = 16;
    private static final int WORD_COUNT_RANGE = 17;
    private static final long DIGEST_SEED = 0xcbf29ce484222325L;
    private static final long DIGEST_PRIME = 0x100000001b3L;
    private static final String[] VOCABULARY = {
        "course", "batter", "hearting", "throughstone", "cope", "footing", "terrace", "face", "stone", "wall",
        "lorry", "village", "lesson", "helper", "question", "answer", "school", "term", "issue", "reader",
        "club", "kite", "library", "renewal", "parent", "tutor", "page", "story", "the", "a",
        "then", "with", "before", "after", "each", "next", "one", "two", "three", "again"
    };

    /** Answer to a {@code messages} array, truncated to {@code maximumTokens} words. */
    public static StandinAnswer to(JsonNode messages, int maximumTokens) {
        long digest = digest(messages);
        int length = wordCount(messages, digest);
        int limit = Math.min(length, Math.max(1, maximumTokens));
        List<String> words = new ArrayList<>(limit);
        words.add(String.format("%016x", digest));
        long state = digest;
        while (words.size() < limit) {
            state = mix(state);
            words.add(VOCABULARY[(int) Long.remainderUnsigned(state, VOCABULARY.length)]);
        }
        return new StandinAnswer(words, limit == length);
    }

    /** Answer to a {@code messages} array without truncation. */
    public static StandinAnswer to(JsonNode messages) {
        return to(messages, Integer.MAX_VALUE);
    }

    /** Words joined with single spaces. */
    public String text() {
        return String.join(" ", words);
    }

    /** Number of tokens of a message: the number of words in its content, at least 1. */
    public static int tokens(JsonNode message) {
        return tokens(content(message));
    }

    /** Text of a message, whether its content is a string or an array of parts. */
    public static String content(JsonNode message) {
        JsonNode content = message.path("content");
        if (!content.isArray()) {
            return content.asText("");
        }
        StringBuilder text = new StringBuilder();
        content.forEach(part -> text.append(part.path("text").asText("")).append(' '));
        return text.toString().strip();
    }

    /** Extends the digest of the preceding messages by one message. Equal conversation prefixes have equal digests. */
    static long extend(long digest, JsonNode message) {
        long extended = absorb(digest, message.path("role").asText(""));
        return mix(absorb(extended, content(message)));
    }

    static long emptyDigest() {
        return DIGEST_SEED;
    }

    private static int tokens(String text) {
        int count = 0;
        boolean inWord = false;
        for (int i = 0; i < text.length(); i++) {
            boolean blank = Character.isWhitespace(text.charAt(i));
            if (!blank && !inWord) {
                count++;
            }
            inWord = !blank;
        }
        return Math.max(1, count);
    }

    private static long digest(JsonNode messages) {
        long digest = emptyDigest();
        for (JsonNode message : messages) {
            digest = extend(digest, message);
        }
        return digest;
    }

    private static int wordCount(JsonNode messages, long digest) {
        String last = messages.isEmpty() ? "" : content(messages.get(messages.size() - 1));
        Matcher marker = WORD_COUNT_MARKER.matcher(last);
        if (marker.find()) {
            return Math.max(1, Integer.parseInt(marker.group(1)));
        }
        return MINIMUM_WORDS + (int) Long.remainderUnsigned(digest, WORD_COUNT_RANGE);
    }

    private static long absorb(long digest, String text) {
        long absorbed = digest;
        for (byte octet : text.getBytes(StandardCharsets.UTF_8)) {
            absorbed = (absorbed ^ (octet & 0xff)) * DIGEST_PRIME;
        }
        return (absorbed ^ text.length()) * DIGEST_PRIME;
    }

    private static long mix(long value) {
        long mixed = value + 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
