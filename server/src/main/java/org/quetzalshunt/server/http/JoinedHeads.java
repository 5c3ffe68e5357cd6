package org.quetzalshunt.server.http;

import io.netty.handler.codec.http.HttpResponse;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Detects a response whose head was joined from two: a faulty server stopped in the head of a response and sent another
 * one. The status line of the first would be read with the headers and the body of the second.
 */
final class JoinedHeads {
    private static final String PROTOCOL = "HTTP/1.";
    private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.\\d \\d{3}");

    private JoinedHeads() {}

    /**
     * Whether a status line is part of the reason phrase or of a header value.
     *
     * @param id id of the request, which a caller chooses and the server echoes; empty if it has none
     */
    static boolean isJoined(HttpResponse response, Optional<String> id) {
        if (hasStatusLine(response.status().reasonPhrase())) {
            return true;
        }
        for (Map.Entry<String, String> header : response.headers()) {
            if (hasStatusLine(header.getValue()) && !id.equals(Optional.of(header.getValue()))) {
                return true;
            }
        }
        return false;
    }

    private static boolean hasStatusLine(String text) {
        return text.contains(PROTOCOL) && STATUS_LINE.matcher(text).find();
    }
}
