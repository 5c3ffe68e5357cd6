package org.quetzalshunt.server.http;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.util.AsciiString;

/**
 * Decodes the responses on a client connection, and tells whether bytes were received that belong to none of its requests.
 *
 * <p>The codec takes any number for a status code, any text for a protocol, and the part of a field name before a blank for
 * the name. What RFC 9112 does not allow ends decoding here, before a head is matched to a request, counted as interim, or
 * skipped as that of another request, and before a trailer section ends a response.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final int VERSION_LENGTH = VERSION_PREFIX.length() + 1;
    private static final int STATUS_CODE_LENGTH = 3;

    private final HttpCallHandler handler;

    ResponseDecoder(HttpCallHandler handler) {
        this.handler = handler;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (!handler.isWaiting()) {
            handler.onBytesWhileIdle(context);
        }
        super.channelRead(context, message);
    }

    /** Whether bytes were received behind the message that was decoded last. */
    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        if (!isVersion(statusLine[0])) {
            throw new MalformedResponseException("the protocol is not HTTP/1");
        }
        if (!isStatusCode(statusLine[1])) {
            throw new MalformedResponseException("the status code is not one from 100 to 599");
        }
        return super.createMessage(statusLine);
    }

    /** RFC 9112, section 2.3. */
    private static boolean isVersion(String text) {
        return text.length() == VERSION_LENGTH && text.startsWith(VERSION_PREFIX) && isDigit(text, VERSION_LENGTH - 1);
    }

    /** Three digits (RFC 9112, section 4), of a class that exists (RFC 9110, section 15). */
    private static boolean isStatusCode(String text) {
        return text.length() == STATUS_CODE_LENGTH
                && text.charAt(0) >= '1'
                && text.charAt(0) <= '5'
                && isDigit(text, 1)
                && isDigit(text, 2);
    }

    private static boolean isDigit(String text, int index) {
        return text.charAt(index) >= '0' && text.charAt(index) <= '9';
    }

    /** The name of a field of a head or a trailer section. Its characters are checked by the headers that it is added to. */
    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (line[start + length] != ':') {
            throw new MalformedResponseException("a field name has a blank");
        }
        return super.splitHeaderName(line, start, length);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return handler.isWithoutBody() || super.isContentAlwaysEmpty(message);
    }
}
