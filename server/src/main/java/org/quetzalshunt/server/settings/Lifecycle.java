package org.quetzalshunt.server.settings;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import org.quetzalshunt.wire.json.Json;
import org.tinylog.Logger;

/** Runs a process until a signal requests its stop, then performs a planned stop. */
public final class Lifecycle {
    private Lifecycle() {}

    /** Prints the ports as one line of JSON, waits for SIGTERM or SIGINT, and stops within a time limit. */
    public static int run(int httpPort, int linkPort, long stopMillis, Supplier<CompletableFuture<Void>> stop) {
        System.out.println(
                Json.object().put("ready", true).put("httpPort", httpPort).put("linkPort", linkPort));
        CountDownLatch stopped = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            stopGracefully(stopMillis, stop);
                            stopped.countDown();
                        },
                        "planned-stop"));
        try {
            stopped.await();
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
        return 0;
    }

    private static void stopGracefully(long stopMillis, Supplier<CompletableFuture<Void>> stop) {
        try {
            stop.get().get(stopMillis + 1_000, TimeUnit.MILLISECONDS);
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        } catch (ExecutionException | TimeoutException late) {
            Logger.warn("planned stop did not complete within the time limit: {}", late.toString());
        }
    }
}
