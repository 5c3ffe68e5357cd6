package org.quetzalshunt.server.gateway;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.quetzalshunt.core.policy.Policy;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.route.AccountConfiguration;
import org.quetzalshunt.core.route.RequestKind;
import org.quetzalshunt.core.route.Route;
import org.quetzalshunt.core.route.RouteTable;
import org.quetzalshunt.core.route.ServiceConfiguration;
import org.quetzalshunt.core.route.TrafficConfiguration;
import org.quetzalshunt.core.routing.EndpointTable;
import org.quetzalshunt.core.routing.Registration;
import org.quetzalshunt.wire.generated.EndpointLoads;
import org.quetzalshunt.wire.json.Json;

/** An account above its share at a gateway, with the mechanism enabled and disabled. */
final class AccountShareControlTest {
    private static final ServiceConfiguration SERVICE = new ServiceConfiguration("s", 100, 0, Optional.empty());
    private static final Route ROUTE = new Route(
            "r", "h", "/", RequestKind.STREAM, 3_000, 200, 0, List.of(), 1, false, 0, false, Set.of(), false, 0);
    private static final long LEFT_MILLIS = 3_000;

    private final NodeClock clock = new NodeClock(() -> {});
    private final EndpointTable endpoints = EndpointTable.create("a", 0, Policy.allEnabled());
    private final Map<String, AccountConfiguration> accounts = Map.of("hot", account("hot"), "other", account("other"));
    private boolean enabled = true;
    private final AccountShareControl control = new AccountShareControl(
            clock,
            DecisionLog.start("vm", System.out),
            endpoints,
            () -> Optional.of(new TrafficConfiguration(
                    1, RouteTable.of(List.of(ROUTE)), Map.of("s", SERVICE), Map.of(), accounts, null)),
            () -> enabled,
            1);

    private static AccountConfiguration account(String name) {
        return new AccountConfiguration(name, 0, 10, 10, Set.of());
    }

    private AdmittedRequest turn(String account, boolean firstTurn) {
        CallerRequest request = new CallerRequest(
                "id",
                "h",
                "/",
                Optional.empty(),
                OptionalLong.empty(),
                OptionalLong.empty(),
                Optional.of("p"),
                Optional.of("p"),
                Optional.empty(),
                OptionalLong.empty(),
                OptionalLong.empty(),
                List.of(),
                OptionalLong.empty(),
                OptionalLong.empty(),
                OptionalLong.empty());
        long now = clock.now();
        return new AdmittedRequest(
                null,
                request,
                ROUTE,
                SERVICE,
                Optional.of(accounts.get(account)),
                1,
                now,
                now + LEFT_MILLIS,
                null,
                !firstTurn);
    }

    @BeforeEach
    void registerEndpoint() {
        endpoints.register(clock.now(), new Registration("e", "s", "127.0.0.1:1", "a", 10, false, 0, 0));
    }

    private void send(String account, int requests) {
        for (int i = 0; i < requests; i++) {
            endpoints.started("e");
            control.started(turn(account, false));
        }
    }

    private void waitForShares() throws InterruptedException {
        for (int step = 0; step < 16; step++) {
            Thread.sleep(50);
            control.checkShortages();
        }
    }

    private EndpointLoads message() {
        EndpointLoads loads = new EndpointLoads(Map.of(), 0);
        control.addReport(loads, 100);
        return loads;
    }

    /** Guards against refusals of other accounts or of programs in progress. */
    @Test
    void onlyFirstTurnsOfTheAccountAboveItsShareAreRefused() throws InterruptedException {
        control.checkShortages();
        send("hot", 16);
        send("other", 3);
        waitForShares();
        Refusal refusal = control.refusal(turn("hot", true)).orElseThrow();
        assertThat(refusal.code()).isEqualTo(ResultCode.DEADLINE_UNREACHABLE);
        assertThat(refusal.retryAfterMillis().getAsLong()).isAtMost(LEFT_MILLIS / 3);
        assertThat(control.refusal(turn("hot", false))).isEqualTo(Optional.empty());
        assertThat(control.refusal(turn("other", true))).isEqualTo(Optional.empty());
        assertThat(message().getAccountUse().get("s")).containsKey("hot");
    }

    /** Guards against effects on deployments without load control, and on peers of a former release. */
    @Test
    void nothingIsRefusedOrReportedWhileDisabled() throws InterruptedException {
        enabled = false;
        control.checkShortages();
        send("hot", 16);
        send("other", 3);
        waitForShares();
        assertThat(control.started(turn("hot", true))).isFalse();
        assertThat(control.refusal(turn("hot", true))).isEqualTo(Optional.empty());
        assertThat(message().isSetAccountUse()).isFalse();
    }

    @Test
    void theDumpListsUseAndShares() throws InterruptedException {
        control.checkShortages();
        send("hot", 16);
        send("other", 3);
        waitForShares();
        var dump = Json.object();
        control.addToDump(dump);
        var service = dump.path("accountShares").path("services").get(0);
        assertThat(service.path("short").asBoolean()).isTrue();
        assertThat(service.path("accounts").get(0).path("account").asText()).isEqualTo("hot");
    }
}
