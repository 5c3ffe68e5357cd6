package org.quetzalshunt.server.sidecar;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalshunt.core.attempt.ModelVersion;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.server.http.RepeatingHttpServer;
import org.quetzalshunt.server.http.RepeatingHttpServer.Copy;

/** Calls of a sidecar to an engine that repeats its responses, which carry no id. */
final class RepeatedStatusTest {
    /** Longer than the time after which a server repeats a response. */
    private static final long PAUSE_MILLIS = 60;

    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private RepeatingHttpServer engine;

    @AfterEach
    void stop() throws IOException {
        engine.close();
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    private SidecarSettings settings() {
        SidecarSettings settings = SidecarSettings.of(
                VmId.of("sidecar-1", 1),
                "here",
                "127.0.0.1",
                0,
                0,
                "tutor",
                ServiceKind.ENGINE,
                engine.address(),
                Optional.empty(),
                new byte[16]);
        return settings.withTimes(SidecarTimes.defaults().withRolloutWindowMillis(0));
    }

    private <T> T call(Consumer<Consumer<T>> call) throws InterruptedException {
        CompletableFuture<T> answer = new CompletableFuture<>();
        group.execute(() -> call.accept(answer::complete));
        T received = answer.orTimeout(5, TimeUnit.SECONDS).join();
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);
        return received;
    }

    /**
     * Guards against a copy of an engine's report that is taken for the response to the next call: a cache entry counted
     * as freed that the engine keeps, entries counted as gone, and a load of an earlier time.
     */
    @ParameterizedTest
    @EnumSource(Copy.class)
    void copyOfAReportIsNotTheAnswerToTheNextCall(Copy copy) throws Exception {
        AtomicInteger reports = new AtomicInteger();
        engine = RepeatingHttpServer.start(copy, request -> switch (request) {
            case "GET /engine/load" -> "200 {\"slots\":" + reports.incrementAndGet() + "}";
            case "GET /engine/cache" -> "200 {\"entries\":[{\"key\":\"program\",\"held\":true}]}";
            default -> "500 no";
        });
        EngineClient client = EngineClient.create(group, settings());
        assertThat(this.<Optional<EndpointLoad>>call(client::fetchLoad)
                        .orElseThrow()
                        .slots())
                .isEqualTo(1);

        assertThat(this.<Boolean>call(receiver -> client.freeCache("program", receiver)))
                .isFalse();
        call(client::fetchLoad);
        assertThat(this.<Optional<List<String>>>call(client::listHeldPrograms).orElseThrow())
                .containsExactly("program");
        assertThat(this.<Optional<EndpointLoad>>call(client::fetchLoad)
                        .orElseThrow()
                        .slots())
                .isEqualTo(3);
        assertThat(this.<Optional<EndpointLoad>>call(client::fetchLoad)
                        .orElseThrow()
                        .slots())
                .isEqualTo(4);
    }

    /**
     * Guards against a copy of an earlier order's state that is taken for the acceptance of the next order: its id stays
     * unknown, and the rollout stands still for a minute.
     */
    @ParameterizedTest
    @EnumSource(Copy.class)
    void copyOfAnOrdersStateIsNotTheAnswerToTheNextOrder(Copy copy) throws Exception {
        AtomicInteger orders = new AtomicInteger();
        engine = RepeatingHttpServer.start(
                copy,
                request -> request.startsWith("POST")
                        ? "202 {\"order\":\"o-" + orders.incrementAndGet() + "\"}"
                        : "200 {\"state\":\"done\"}");
        ModelRolloutExecutor rollout =
                ModelRolloutExecutor.create(group, settings(), () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
        group.execute(() -> rollout.setTarget(1, List.of("a@1", "b@1"), true));
        group.execute(() -> rollout.onLoad(load()));
        group.scheduleAtFixedRate(rollout::tick, 0, 20, TimeUnit.MILLISECONDS);
        FakeEntry.await(() -> rolloutPhase(rollout).equals("READING_BACK"));
        TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS);

        group.execute(() -> rollout.onLoad(load(new ModelVersion("a", "1"))));

        FakeEntry.await(() -> engine.requests().contains("GET /engine/orders/o-2"));
        assertThat(orders.get()).isEqualTo(2);
    }

    private String rolloutPhase(ModelRolloutExecutor rollout) {
        return group.submit(() -> rollout.status().phase())
                .syncUninterruptibly()
                .getNow();
    }

    private static EndpointLoad load(ModelVersion... models) {
        return new EndpointLoad(0, 0, 4, 0, 0, 0, List.of(models));
    }
}
