package org.quetzalshunt.standin.service;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.fasterxml.jackson.databind.JsonNode;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalshunt.standin.LocalHttp;
import org.quetzalshunt.standin.control.Fault;
import org.quetzalshunt.standin.control.FaultKind;

@Timeout(30)
final class ServiceStandinTest {
    private final EventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
    private ServiceStandin service;
    private LocalHttp http;

    @BeforeEach
    void start() {
        service = ServiceStandin.start(group, new InetSocketAddress("127.0.0.1", 0), new ServiceSettings(0));
        http = LocalHttp.to(service.port());
    }

    @AfterEach
    void stop() {
        service.close();
        group.shutdownGracefully();
    }

    /**
     * Guards against a repeated execution that the run count does not show. The connection of the first call is closed
     * after the execution and before the response, and the caller sends the call again with the same idempotency key.
     */
    @Test
    void repeatedCallIsCountedByIdempotencyKey() throws Exception {
        service.set(Fault.next(FaultKind.CUT, 1));
        assertThrows(IOException.class, () -> http.send("POST", "/orders", "{}", "Idempotency-Key", "lorry"));
        JsonNode second = http.json("POST", "/orders", "{}", "Idempotency-Key", "lorry");
        assertThat(second.path("runs").asInt()).isEqualTo(2);
        JsonNode runs = http.json("GET", "/standin/runs", "").path("runs");
        assertThat(runs.findValuesAsText("state"))
                .containsExactly("cut", "done")
                .inOrder();
        assertThat(runs.findValuesAsText("idempotencyKey")).containsExactly("lorry", "lorry");
    }

    @Test
    void refusedCallDoesNotRun() throws Exception {
        service.set(Fault.next(FaultKind.REFUSE, 1));
        assertThat(http.send("POST", "/orders", "{}").statusCode()).isEqualTo(503);
        assertThat(http.json("GET", "/standin/runs", "").path("runs")).isEmpty();
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "{\"kind\":\"crash\"}                | 422",
                "{\"kind\":\"slow\",\"millis\":-1}   | 422",
                "not json                            | 422",
                "{\"kind\":\"hang\",\"count\":1}     | 204",
                "{\"kind\":\"none\"}                 | 204"
            })
    void invalidFaultRequestsAreRejected(String body, int status) throws Exception {
        assertThat(http.send("POST", "/standin/faults", body).statusCode()).isEqualTo(status);
    }
}
