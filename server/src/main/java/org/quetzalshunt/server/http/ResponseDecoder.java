package org.quetzalshunt.server.http;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpConstants;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;
import java.util.List;

/**
 * Decodes the responses on a client connection, and tells whether bytes were received that belong to none of its requests.
 *
 * <p>The codec reads more than RFC 9112 allows: any number as a status code, any text as a protocol, the part of a field
 * name before a blank as the name, and a line that begins with a blank as a part of the value before it. Such bytes end
 * decoding here, before a head is matched to a request, counted as interim, or skipped as that of another request, and
 * before a trailer section ends a response.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final String VERSION_PREFIX = "HTTP/1.";
    private static final int VERSION_LENGTH = VERSION_PREFIX.length() + 1;
    private static final int STATUS_CODE_LENGTH = 3;

    private final HttpCallHandler handler;
    /** Whether a head, or the rest of one, is read next. */
    private boolean readingHead = true;
    /** Whether the status line of that head has been read. */
    private boolean statusLineRead;

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

    /** Refuses a folded line (RFC 9112, section 5.2) before the codec joins it with the value before it, out of sight. */
    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf buffer, List<Object> out) throws Exception {
        if (readingHead && hasLineWithLeadingBlank(buffer)) {
            buffer.skipBytes(buffer.readableBytes());
            handler.onMalformed(context, new MalformedResponseException("a line of the head begins with a blank"));
            return;
        }
        super.decode(context, buffer, out);
        for (Object message : out) {
            if (message instanceof HttpResponse) {
                readingHead = false;
                statusLineRead = false;
            }
            if (message instanceof LastHttpContent) {
                readingHead = true;
            }
        }
    }

    /** Whether a line behind the status line begins with a blank, in the part of the head that was received. */
    private boolean hasLineWithLeadingBlank(ByteBuf buffer) {
        boolean behindStatusLine = statusLineRead;
        int start = behindStatusLine ? buffer.readerIndex() : skipBlankLines(buffer);
        while (start < buffer.writerIndex()) {
            byte first = buffer.getByte(start);
            if (behindStatusLine && isBlank(first)) {
                return true;
            }
            boolean isEndOfHead = first == HttpConstants.CR || first == HttpConstants.LF;
            int lineFeed = buffer.indexOf(start, buffer.writerIndex(), HttpConstants.LF);
            if (isEndOfHead || lineFeed < 0) {
                return false;
            }
            start = lineFeed + 1;
            behindStatusLine = true;
        }
        return false;
    }

    /** Start of the status line; the codec skips what stands before it in the same way. */
    private static int skipBlankLines(ByteBuf buffer) {
        int start = buffer.forEachByte(octet -> octet <= ' ' && octet >= 0);
        return start < 0 ? buffer.writerIndex() : start;
    }

    private static boolean isBlank(byte octet) {
        return octet == HttpConstants.SP || octet == HttpConstants.HT;
    }

    @Override
    protected HttpMessage createMessage(String[] statusLine) {
        if (!isVersion(statusLine[0])) {
            throw new MalformedResponseException("the protocol is not HTTP/1");
        }
        if (!isStatusCode(statusLine[1])) {
            throw new MalformedResponseException("the status code is not one from 100 to 599");
        }
        statusLineRead = true;
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
