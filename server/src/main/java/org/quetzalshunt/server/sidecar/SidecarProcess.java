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

/** A running sidecar. Its methods may be called from any thread except its own event loop. */
public final class SidecarProcess {
    /** Interval at which a planned stop checks whether all work has ended. */
    private static final long IDLE_CHECK_MILLIS = 50;

    /** An engine that does not answer requests to free its cache delays a planned stop by at most two seconds. */
    private static final int MAXIMUM_CACHE_FREE_CHECKS = (int) (2_000 / IDLE_CHECK_MILLIS);

    /** Time for the last frames to be sent before the links close. */
    private static final long FINAL_FRAMES_MILLIS = 200;

    private static final long SHUTDOWN_MILLIS = 2_000;

    private final EventLoopGroup group;
    private final Sidecar sidecar;
    private final LinkServer linkServer;
    private final HttpServer httpServer;
    private final long drainMillis;
    private int cacheFreeChecks;
    private final CompletableFuture<Void> stopped = new CompletableFuture<>();

    private SidecarProcess(
            EventLoopGroup group, Sidecar sidecar, LinkServer linkServer, HttpServer httpServer, long drainMillis) {
        this.group = group;
        this.sidecar = sidecar;
        this.linkServer = linkServer;
        this.httpServer = httpServer;
        this.drainMillis = drainMillis;
    }

    /**
     * Binds the ports and starts; throws a {@link java.net.BindException}, unchecked through Netty, when a port is
     * taken.
     */
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

    /** Port for health checks and dumps. */
    public int httpPort() {
        return httpServer.port();
    }

    /**
     * Sets the models that the engine is to serve, as listed in the service document, and starts a rollout to them. Has
     * no effect unless the version is newer than the last one.
     *
     * @param version version of the document, which is the fencing token of the orders
     * @param models models, each as {@code name@version}; other texts are ignored
     * @param engineChecksFencing whether the engine refuses orders with an outdated token; if not, the first order is
     *     delayed until the orders of a former process have ended
     */
    public void setDesiredModels(long version, List<String> models, boolean engineChecksFencing) {
        List<String> copy = List.copyOf(models);
        group.next().execute(() -> sidecar.setDesiredModels(version, copy, engineChecksFencing));
    }

    /** Sets the models of an engine that is not known to check fencing tokens. */
    public void setDesiredModels(long version, List<String> models) {
        setDesiredModels(version, models, false);
    }

    /**
     * Planned stop: refuses new attempts, waits a bounded time for running ones, and ends the process. Further calls
     * have no effect.
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
            sidecar.startDraining();
            group.next().schedule(this::endDrain, drainMillis, TimeUnit.MILLISECONDS);
            awaitIdle();
        });
        return stopped;
    }

    /** Closes everything at once, as a crash would, and waits until it is closed. */
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
        boolean freeing =
                !running && sidecar.counts().heldPrograms() > 0 && cacheFreeChecks++ < MAXIMUM_CACHE_FREE_CHECKS;
        if (running || freeing) {
            group.next().schedule(this::awaitIdle, IDLE_CHECK_MILLIS, TimeUnit.MILLISECONDS);
            return;
        }
        group.next().schedule(this::end, FINAL_FRAMES_MILLIS, TimeUnit.MILLISECONDS);
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
