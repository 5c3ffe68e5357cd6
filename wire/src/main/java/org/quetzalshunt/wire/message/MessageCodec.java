package org.quetzalshunt.wire.message;

import java.util.Optional;
import org.apache.thrift.TBase;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocolUtil;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.quetzalshunt.wire.generated.Message;

/** Encodes and decodes Thrift values. Malformed bytes yield an empty or false result, never an exception. */
public final class MessageCodec {
    /** Maximum size of a message, which allows for a body of 8 MiB and its headers. */
    public static final int MAXIMUM_BYTES = 12 * 1024 * 1024;

    private static final int INITIAL_BYTES = 256;
    private static final int MAXIMUM_DEPTH = 32;
    private static final TConfiguration CONFIGURATION = new TConfiguration(MAXIMUM_BYTES, MAXIMUM_BYTES, MAXIMUM_DEPTH);

    static {
        // Fields of unknown numbers are skipped by a recursion of their own, without a limit unless one is set here.
        TProtocolUtil.setMaxSkipDepth(MAXIMUM_DEPTH);
    }

    private MessageCodec() {}

    /** Encodes a Thrift value. */
    public static byte[] encode(TBase<?, ?> value) {
        try {
            TMemoryBuffer buffer = new TMemoryBuffer(INITIAL_BYTES);
            value.write(new TCompactProtocol(buffer));
            byte[] bytes = new byte[buffer.length()];
            System.arraycopy(buffer.getArray(), 0, bytes, 0, bytes.length);
            return bytes;
        } catch (TException invalid) {
            throw new IllegalArgumentException(invalid);
        }
    }

    /** Decodes bytes into an empty value; false if the bytes are malformed. */
    public static boolean decode(byte[] bytes, TBase<?, ?> target) {
        try {
            TMemoryInputTransport transport = new TMemoryInputTransport(CONFIGURATION, bytes);
            // Each element takes at least a byte. Generated readers allocate the stated size of a list beforehand,
            // which
            // would be up to MAXIMUM_BYTES elements for a message of a few bytes.
            long maximumElements = Math.min(MAXIMUM_BYTES, bytes.length);
            target.read(new TCompactProtocol(transport, maximumElements, maximumElements));
            return true;
        } catch (TException | RuntimeException malformed) {
            // Generated readers throw unchecked exceptions, such as NegativeArraySizeException, for invalid lengths.
            return false;
        }
    }

    /**
     * Decodes a message; empty if the bytes are malformed or contain a kind of message that this version does not
     * support.
     */
    public static Optional<Message> decodeMessage(byte[] bytes) {
        Message message = new Message();
        if (!decode(bytes, message) || !message.isSet()) {
            return Optional.empty();
        }
        return Optional.of(message);
    }
}
