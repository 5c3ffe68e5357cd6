package org.quetzalshunt.server.sidecar;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.core.vm.VmRole;
import org.quetzalshunt.server.http.HttpLimits;
import org.quetzalshunt.server.http.HttpServer;
import org.quetzalshunt.server.transport.LinkIdentity;
import org.quetzalshunt.server.transport.LinkServer;
import org.quetzalshunt.server.transport.LinkSettings;

/** A running sidecar. Its methods may be called from any thread but its own event loop. */
public final class SidecarProcess {
    /** How often a stop looks whether everything ended. */
    private static final long LOOK_MILLIS = 50;

    /** An engine that does not answer when its memory is freed may hold a planned stop up for two seconds, no more. */
    private static final int FREEING_LOOKS = (int) (2_000 / LOOK_MILLIS);

    /** Lets the last frames leave before the links close. */
    private static final long LINGER_MILLIS = 200;

    private static final long SHUTDOWN_MILLIS = 2_000;

    private final EventLoopGroup group;
    private final Sidecar sidecar;
    private final LinkServer linkServer;
    private final HttpServer httpServer;
    private final long drainMillis;
    private int freeingLooks;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();

    private SidecarProcess(
            EventLoopGroup group, Sidecar sidecar, LinkServer linkServer, HttpServer httpServer, long drainMillis) {
        this.group = group;
        this.sidecar = sidecar;
        this.linkServer = linkServer;
        this.httpServer = httpServer;
        this.drainMillis = drainMillis;
    }

    /** Binds its ports and starts; a taken port fails with a {@link java.net.BindException}, unchecked by Netty. */
    public static SidecarProcess start(SidecarSettings settings) {
        EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
        try {
            return start(settings, group);
        } catch (RuntimeException failed) {
            group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS);
            throw failed;
        }
    }

    private static SidecarProcess start(SidecarSettings settings, EventLoopGroup group) {
        Sidecar sidecar = Sidecar.create(group, settings);
        LinkIdentity self = new LinkIdentity(settings.id(), VmRole.SIDECAR, settings.dataCentre());
        LinkServer links = LinkServer.start(
                group,
                new InetSocketAddress(settings.bindHost(), settings.linkPort()),
                LinkSettings.of(self, settings.secret()),
                sidecar);
        HttpServer http = HttpServer.start(
                group,
                new InetSocketAddress(settings.bindHost(), settings.httpPort()),
                HttpLimits.defaults(),
                exchange -> StatusPages.handle(exchange, sidecar));
        group.next().execute(sidecar::startTicks);
        return new SidecarProcess(group, sidecar, links, http, settings.times().drainMillis());
    }

    /** Port for links of entries. */
    public int linkPort() {
        return linkServer.port();
    }

    /** Port for health and dumps. */
    public int httpPort() {
        return httpServer.port();
    }

    /**
     * The service's document names models, each as {@code name@version}; what cannot be read as such is left out.
     * The engine is brought to them. Nothing happens for a version that is not newer than the last.
     *
     * @param version version of the document, the fencing token of the orders
     * @param engineChecksFencing whether the engine refuses orders with an old token; if not, the first order waits
     *     until those of a former process are over
     */
    public void desiredModels(long version, List<String> models, boolean engineChecksFencing) {
        List<String> copy = List.copyOf(models);
        group.next().execute(() -> sidecar.desiredModels(version, copy, engineChecksFencing));
    }

    /** The same for an engine of which it is not known whether it checks fencing tokens. */
    public void desiredModels(long version, List<String> models) {
        desiredModels(version, models, false);
    }

    /**
     * Planned stop: refuses new attempts, finishes what runs within a bounded time, and ends. A second call changes
     * nothing.
     *
     * @return completes when the process has ended
     */
    public CompletableFuture<Void> stop() {
        if (group.isShuttingDown()) {
            return stopped;
        }
        group.next().execute(() -> {
            if (sidecar.counts().leaving()) {
                return;
            }
            sidecar.leave();
            group.next().schedule(this::endDrain, drainMillis, TimeUnit.MILLISECONDS);
            awaitIdle();
        });
        return stopped;
    }

    /** Closes everything at once, as a crash would; returns when it is closed. */
    public void kill() {
        if (group.isShuttingDown()) {
            group.terminationFuture().syncUninterruptibly();
            return;
        }
        group.next().submit(this::close).syncUninterruptibly();
        group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS).syncUninterruptibly();
        stopped.complete(null);
    }

    private void awaitIdle() {
        boolean running = sidecar.counts().running() > 0;
        boolean frees = !running && sidecar.counts().heldPrograms() > 0 && freeingLooks++ < FREEING_LOOKS;
        if (running || frees) {
            group.next().schedule(this::awaitIdle, LOOK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        group.next().schedule(this::end, LINGER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void endDrain() {
        sidecar.cutAll();
    }

    private void end() {
        close();
        group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS).addListener(done -> stopped.complete(null));
    }

    private void close() {
        linkServer.close();
        httpServer.close();
        sidecar.close();
    }
}
