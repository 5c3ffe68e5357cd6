package org.quetzalshunt.server.entry;

import static com.google.common.truth.Truth.assertThat;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.quetzalshunt.core.vm.Vm;
import org.quetzalshunt.server.http.HttpClient;
import org.quetzalshunt.server.http.RepeatingHttpServer;
import org.quetzalshunt.server.http.RepeatingHttpServer.Copy;

final class VmListPollerTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private final BlockingQueue<List<Vm>> lists = new LinkedBlockingQueue<>();

    @AfterEach
    void stop() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS);
    }

    /** Guards against a copy of an earlier list that is taken for the present one: a VM that has left is back. */
    @ParameterizedTest
    @EnumSource(Copy.class)
    void copyOfAnEarlierListIsNotThePresentOne(Copy copy) throws Exception {
        AtomicInteger reads = new AtomicInteger();
        try (RepeatingHttpServer platform = RepeatingHttpServer.start(
                copy,
                request -> "200 {\"vms\":[{\"name\":\"vm-" + reads.incrementAndGet()
                        + "\",\"host\":\"10.0.0.1\",\"port\":7000}]}")) {
            VmListPoller poller =
                    new VmListPoller(HttpClient.create(group), platform.address(), new EntryClock(), lists::add);

            group.scheduleAtFixedRate(poller::tick, 0, 20, TimeUnit.MILLISECONDS);

            for (int read = 1; read <= 3; read++) {
                List<Vm> list = lists.poll(5, TimeUnit.SECONDS);
                assertThat(list.get(0).name()).isEqualTo("vm-" + read);
            }
        }
    }
}
