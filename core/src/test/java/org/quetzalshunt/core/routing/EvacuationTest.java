package org.quetzalshunt.core.routing;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalshunt.core.policy.Policy;

/** Endpoint selection while data centres are evacuated, and for requests that are restricted to some data centres. */
final class EvacuationTest {
    private static final List<String> DATA_CENTRES = List.of("a", "b", "c");
    private static final int PER_DATA_CENTRE = 3;
    private static final int REQUESTS = 200;

    private final EndpointTable table = EndpointTable.create("a", 7, Policy.allEnabled());

    @BeforeEach
    void register() {
        for (String dataCentre : DATA_CENTRES) {
            for (int number = 0; number < PER_DATA_CENTRE; number++) {
                register(dataCentre, number);
            }
        }
    }

    private void register(String dataCentre, int number) {
        String address = "10.0." + DATA_CENTRES.indexOf(dataCentre) + "." + number + ":80";
        table.register(0, new Registration(dataCentre + number, "llm", address, dataCentre, 8, false, 0, 1));
    }

    private static RoutingRequest request(EndpointLimits limits) {
        return RoutingRequest.plain("llm", Set.of(), limits);
    }

    private static EndpointLimits restrictedTo(Set<String> dataCentres) {
        return new EndpointLimits(100, Double.POSITIVE_INFINITY, Optional.of(dataCentres));
    }

    /** Data centres that get the requests of a burst in which no request ends. */
    private Set<String> used(EndpointLimits limits) {
        Set<String> used = new HashSet<>();
        for (int number = 0; number < REQUESTS; number++) {
            table.select(0, request(limits)).map(Selection::registration).ifPresent(endpoint -> {
                table.started(endpoint.id());
                used.add(endpoint.dataCentre());
            });
        }
        return used;
    }

    static List<Arguments> evacuations() {
        return List.of(
                Arguments.of(Set.of(), Set.of("a", "b", "c"), Availability.AVAILABLE),
                Arguments.of(Set.of("a"), Set.of("b", "c"), Availability.AVAILABLE),
                Arguments.of(Set.of("a", "c"), Set.of("b"), Availability.AVAILABLE),
                Arguments.of(Set.of("no such data centre"), Set.of("a", "b", "c"), Availability.AVAILABLE),
                Arguments.of(Set.of("a", "b", "c"), Set.of(), Availability.EVACUATED));
    }

    @ParameterizedTest
    @MethodSource("evacuations")
    void evacuatedDataCentreGetsNoWork(Set<String> evacuated, Set<String> used, Availability availability) {
        EndpointLimits anywhere = EndpointLimits.inFlight(100);
        table.setEvacuated(evacuated);
        assertThat(used(anywhere)).isEqualTo(used);
        assertThat(table.availability("llm", anywhere)).isEqualTo(availability);
    }

    /** Guards against work for endpoints that register while their data centre is evacuated. */
    @Test
    void endpointRegisteredDuringEvacuationGetsNoWork() {
        table.setEvacuated(Set.of("b"));
        register("b", PER_DATA_CENTRE);
        register("b", 0);
        assertThat(used(EndpointLimits.inFlight(100))).containsExactly("a", "c");
    }

    @Test
    void dataCentreGetsWorkAgainAfterItsEvacuationEnds() {
        table.setEvacuated(Set.of("b"));
        table.setEvacuated(Set.of());
        assertThat(used(EndpointLimits.inFlight(100))).containsExactly("a", "b", "c");
    }

    @ParameterizedTest
    @MethodSource("homes")
    void requestStaysInItsAllowedDataCentres(Set<String> allowed, Set<String> evacuated, Availability availability) {
        table.setEvacuated(evacuated);
        Set<String> used = used(restrictedTo(allowed));
        assertThat(allowed).containsAtLeastElementsIn(used);
        assertThat(used.isEmpty()).isEqualTo(availability != Availability.AVAILABLE);
        assertThat(table.availability("llm", restrictedTo(allowed))).isEqualTo(availability);
    }

    static List<Arguments> homes() {
        return List.of(
                Arguments.of(Set.of("a"), Set.of(), Availability.AVAILABLE),
                Arguments.of(Set.of("b", "c"), Set.of("b"), Availability.AVAILABLE),
                Arguments.of(Set.of("b"), Set.of("b"), Availability.EVACUATED),
                Arguments.of(Set.of(), Set.of(), Availability.NONE));
    }
}
