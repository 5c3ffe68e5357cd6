package org.quetzalshunt.core.attempt;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalshunt.core.document.ServiceKind;

/** A gate with a simulated clock, scripted endpoint events, and a record of all outputs. */
final class GateHarness {
    static final long ATTEMPT = 9;
    static final long LINK = 1;
    static final int SHARD = 5;
    static final long EPOCH = 40;
    static final long STALL_MILLIS = 2_000;
    static final long DEADLINE_MILLIS = 20_000;
    static final long LEASE_MILLIS = 30_000;

    final List<GateOutput> outputs = new ArrayList<>();
    final EndpointGate gate;
    long now = 1_000_000;

    private GateHarness(ServiceKind kind) {
        gate = EndpointGate.create(GateSettings.of(kind), outputs::add, now);
    }

    static GateHarness of(ServiceKind kind) {
        return new GateHarness(kind);
    }

    GateHarness start(boolean repeatable) {
        gate.start(LINK, order(ATTEMPT, EPOCH, repeatable), now);
        return this;
    }

    static AttemptOrder order(long attempt, long epoch, boolean repeatable) {
        return new AttemptOrder(
                attempt,
                SHARD,
                epoch,
                "program",
                "POST",
                "/issues",
                Map.of(),
                new byte[0],
                0,
                DEADLINE_MILLIS,
                STALL_MILLIS,
                repeatable,
                LEASE_MILLIS);
    }

    GateHarness head(int run, int status) {
        return dispatch(new EndpointEvent.Head(ATTEMPT, run, status, Map.of()));
    }

    GateHarness data(int run, String... texts) {
        for (String text : texts) {
            dispatch(new EndpointEvent.Data(ATTEMPT, run, text.getBytes(StandardCharsets.UTF_8)));
        }
        return this;
    }

    GateHarness done(int run) {
        return dispatch(new EndpointEvent.EndMarker(ATTEMPT, run));
    }

    GateHarness closed(int run) {
        return dispatch(new EndpointEvent.ResponseEnded(ATTEMPT, run));
    }

    GateHarness failed(int run, boolean mayHaveArrived) {
        return dispatch(new EndpointEvent.ResponseFailed(ATTEMPT, run, mayHaveArrived));
    }

    GateHarness advance(long millis) {
        for (long end = now + millis; now < end; now += 50) {
            gate.tick(now);
        }
        gate.tick(now);
        return this;
    }

    List<String> chunks(long link) {
        return outputsOf(GateOutput.SendChunk.class).stream()
                .filter(chunk -> chunk.link() == link)
                .map(chunk -> chunk.sequence() + ":" + new String(chunk.data(), StandardCharsets.UTF_8))
                .toList();
    }

    Optional<AttemptResult> result(long link) {
        List<AttemptResult> results = outputsOf(GateOutput.SendEnd.class).stream()
                .filter(end -> end.link() == link)
                .map(GateOutput.SendEnd::result)
                .toList();
        return results.isEmpty() ? Optional.empty() : Optional.of(results.get(results.size() - 1));
    }

    /**
     * Returns code and execution of the last end that was sent to a link, such as {@code OK RAN}; empty text before
     * any.
     */
    String outcome(long link) {
        return result(link).map(end -> end.code() + " " + end.execution()).orElse("");
    }

    <T extends GateOutput> List<T> outputsOf(Class<T> type) {
        return outputs.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private GateHarness dispatch(EndpointEvent event) {
        gate.onEndpointEvent(event, now);
        return this;
    }
}
