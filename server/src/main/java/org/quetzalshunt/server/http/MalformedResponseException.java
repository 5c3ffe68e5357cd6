package org.quetzalshunt.server.http;

import java.io.Serial;

/** Thrown while bytes are decoded that are no response by RFC 9112. The message has none of the bytes. */
final class MalformedResponseException extends IllegalArgumentException {
    @Serial
    private static final long serialVersionUID = 1;

    MalformedResponseException(String message) {
        super(message);
    }
}
