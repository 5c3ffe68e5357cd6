package org.quetzalshunt.server.sidecar;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;

/** Percent-encoding of one path segment (RFC 3986, section 3.3). */
final class PathSegments {
    private PathSegments() {}

    static String encode(String segment) {
        return URLEncoder.encode(segment, StandardCharsets.UTF_8).replace("+", "%20");
    }
}
