package org.quetzalshunt.standin.fleet;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;

/**
 * Sends a share of the responses on a connection once more, some time after the response and between two others,
 * whatever the connection is used for then.
 */
final class ResponseRepeater extends ChannelOutboundHandlerAdapter {
    private static final double REPEATED = 0.3;
    private static final int MAXIMUM_DELAY_MILLIS = 400;
    private static final String LINE_END = "\r\n";

    private final ChannelHandlerContext codec;
    private final Supplier<ServerFault> fault;
    private final Random random;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final List<byte[]> dueCopies = new ArrayList<>();
    private HttpResponse head;

    private ResponseRepeater(ChannelHandlerContext codec, Supplier<ServerFault> fault, Random random) {
        this.codec = codec;
        this.fault = fault;
        this.random = random;
    }

    /** Adds a repeater to the connection, which must be served by the thread that uses the source of random numbers. */
    static void addTo(ChannelPipeline pipeline, Supplier<ServerFault> fault, Random random) {
        ChannelHandlerContext codec = pipeline.context(HttpServerCodec.class);
        pipeline.addAfter(codec.name(), "repeater", new ResponseRepeater(codec, fault, random));
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof HttpResponse response) {
            head = response;
            body.reset();
        }
        if (message instanceof HttpContent content) {
            body.writeBytes(ByteBufUtil.getBytes(content.content()));
        }
        context.write(message, promise);
        if (message instanceof LastHttpContent && head != null) {
            onResponse();
        }
    }

    private void onResponse() {
        ServerFault current = fault.get();
        if (current.repeats() && random.nextDouble() < REPEATED) {
            byte[] copy = current == ServerFault.REPEAT ? response() : beginning();
            int delayMillis = random.nextInt(MAXIMUM_DELAY_MILLIS);
            codec.executor().schedule(() -> repeat(copy), delayMillis, TimeUnit.MILLISECONDS);
        }
        head = null;
        dueCopies.forEach(this::send);
        dueCopies.clear();
    }

    private void repeat(byte[] copy) {
        if (head != null) {
            dueCopies.add(copy);
            return;
        }
        send(copy);
    }

    /** Sends bytes past the encoder, which would take them for a part of a response. */
    private void send(byte[] copy) {
        codec.writeAndFlush(Unpooled.wrappedBuffer(copy));
    }

    private byte[] beginning() {
        byte[] headBytes = ascii(headText());
        return Arrays.copyOf(headBytes, 1 + random.nextInt(headBytes.length));
    }

    private byte[] response() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        bytes.writeBytes(ascii(headText() + LINE_END));
        boolean chunked = HttpUtil.isTransferEncodingChunked(head);
        if (chunked && body.size() > 0) {
            bytes.writeBytes(ascii(Integer.toHexString(body.size()) + LINE_END));
        }
        bytes.writeBytes(body.toByteArray());
        if (chunked) {
            bytes.writeBytes(ascii((body.size() > 0 ? LINE_END : "") + "0" + LINE_END + LINE_END));
        }
        return bytes.toByteArray();
    }

    private String headText() {
        StringBuilder text = new StringBuilder("HTTP/1.1 " + head.status() + LINE_END);
        head.headers().forEach(header -> text.append(header.getKey() + ": " + header.getValue() + LINE_END));
        return text.toString();
    }

    private static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }
}
