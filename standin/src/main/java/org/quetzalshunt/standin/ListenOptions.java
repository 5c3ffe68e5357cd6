package org.quetzalshunt.standin;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.function.BiFunction;
import org.quetzalshunt.wire.json.Json;
import picocli.CommandLine.Option;

/** Options for the address of a stand-in, and the start of its server. */
final class ListenOptions {
    @Option(
            names = "--host",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_HOST:-127.0.0.1}",
            description = "address to listen on (default: ${DEFAULT-VALUE})")
    private String host;

    @Option(
            names = "--port",
            defaultValue = "${env:QUETZALSHUNT_STANDIN_PORT:-0}",
            description = "port to listen on; 0 selects a free one (default: ${DEFAULT-VALUE})")
    private int port;

    /** Starts the server on its own event loop, prints {@code {"ready":true,"port":N}} and blocks until SIGTERM. */
    int serve(BiFunction<EventLoopGroup, InetSocketAddress, Integer> start) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        int bound = start.apply(group, new InetSocketAddress(host, port));
        System.out.println(Json.object().put("ready", true).put("port", bound));
        group.terminationFuture().syncUninterruptibly();
        return 0;
    }
}
