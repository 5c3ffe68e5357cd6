package org.quetzalshunt.core.program;

import java.util.ArrayList;
import java.util.List;
import org.agrona.concurrent.UnsafeBuffer;

/**
 * Encodes a list of messages as one byte array, in which each message is preceded by its length as a four-byte integer
 * in the native byte order.
 */
public final class MessageList {
    private MessageList() {}

    public static byte[] join(List<byte[]> messages) {
        int length = messages.stream()
                .mapToInt(message -> Integer.BYTES + message.length)
                .sum();
        byte[] joined = new byte[length];
        UnsafeBuffer buffer = new UnsafeBuffer(joined);
        int position = 0;
        for (byte[] message : messages) {
            buffer.putInt(position, message.length);
            buffer.putBytes(position + Integer.BYTES, message);
            position += Integer.BYTES + message.length;
        }
        return joined;
    }

    /** Decodes the output of {@link #join}; stops at the first message that is truncated or has an invalid length. */
    public static List<byte[]> split(byte[] joined) {
        List<byte[]> messages = new ArrayList<>();
        UnsafeBuffer buffer = new UnsafeBuffer(joined);
        int position = 0;
        while (position + Integer.BYTES <= joined.length) {
            int length = buffer.getInt(position);
            if (length < 0 || length > joined.length - position - Integer.BYTES) {
                break;
            }
            byte[] message = new byte[length];
            buffer.getBytes(position + Integer.BYTES, message);
            messages.add(message);
            position += Integer.BYTES + length;
        }
        return messages;
    }
}
