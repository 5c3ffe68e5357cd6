package org.quetzalshunt.server.sidecar;

import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.quetzalshunt.core.document.ServiceKind;
import org.quetzalshunt.core.result.Execution;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.wire.generated.AttemptEnd;
import org.quetzalshunt.wire.generated.AttemptStart;

/** A real sidecar on loopback with a fake endpoint and fake entries. */
final class SidecarFixture implements AutoCloseable {
    static final byte[] SECRET = "a secret of the tests".getBytes(StandardCharsets.UTF_8);
    static final long ATTEMPT = 77;
    static final int SHARD = 3;
    private static final byte[] BODY = "{\"stream\":true}".getBytes(StandardCharsets.UTF_8);
    private static final long LEASE_MILLIS = 10_000;

    final FakeEndpoint endpoint = FakeEndpoint.start();
    private final List<SidecarProcess> sidecars = new ArrayList<>();
    private final List<FakeEntry> entries = new ArrayList<>();

    SidecarProcess startSidecar(ServiceKind kind) {
        return startSidecar(kind, SidecarTimes.defaults());
    }

    SidecarProcess startSidecar(ServiceKind kind, SidecarTimes times) {
        return startSidecar(kind, times, endpoint.address());
    }

    SidecarProcess startSidecar(ServiceKind kind, SidecarTimes times, InetSocketAddress address) {
        SidecarSettings settings = SidecarSettings.of(
                VmId.of("sidecar-1", 1 + sidecars.size()),
                "here",
                "127.0.0.1",
                0,
                0,
                "tutor",
                kind,
                address,
                Optional.of(endpoint.address()),
                SECRET);
        SidecarProcess sidecar = SidecarProcess.start(settings.withTimes(times));
        sidecars.add(sidecar);
        return sidecar;
    }

    FakeEntry connect(VmId id, byte[] secret, SidecarProcess sidecar) {
        FakeEntry entry = FakeEntry.connect(id, secret, sidecar.linkPort());
        entries.add(entry);
        return entry;
    }

    FakeEntry connect(SidecarProcess sidecar) {
        return connect(VmId.of("entry-" + entries.size(), 1), SECRET, sidecar).awaitOpen();
    }

    static AttemptStart attemptStart(boolean repeatable) {
        AttemptStart start = new AttemptStart();
        start.setAttempt(ATTEMPT);
        start.setShard(SHARD);
        start.setEpoch(1);
        start.setProgram("program");
        start.setMethod("POST");
        start.setPath("/issues");
        start.setBody(ByteBuffer.wrap(BODY));
        start.setRemainingMillis(20_000);
        start.setStallMillis(2_000);
        start.setRepeatable(repeatable);
        start.setCacheLeaseMillis(LEASE_MILLIS);
        return start;
    }

    /** Result code and execution of an attempt, such as {@code OK RAN}. */
    static String outcome(AttemptEnd end) {
        return ResultCode.fromNumber(end.getResultCode()) + " " + Execution.fromNumber(end.getExecution());
    }

    @Override
    public void close() {
        entries.forEach(FakeEntry::close);
        sidecars.forEach(SidecarProcess::kill);
        endpoint.close();
    }
}
