package org.quetzalshunt.server.entry;

import io.netty.channel.EventLoopGroup;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.function.Consumer;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.core.vm.VmRole;
import org.quetzalshunt.server.transport.LinkConnector;
import org.quetzalshunt.server.transport.LinkIdentity;
import org.quetzalshunt.server.transport.LinkServer;
import org.quetzalshunt.server.transport.LinkSettings;

/** A real link between an entry and another process, over loopback. */
final class TestLinks {
    private static final byte[] SECRET = "a secret of the tests".getBytes(StandardCharsets.UTF_8);

    private TestLinks() {}

    /** Connects an entry to a peer; both ends get their events on the event loop. */
    static void connect(
            EventLoopGroup group,
            String entry,
            Consumer<LinkEventAdapter.Event> entryEvents,
            String peer,
            VmRole peerRole,
            Consumer<LinkEventAdapter.Event> peerEvents) {
        InetAddress loopback = InetAddress.getLoopbackAddress();
        LinkServer server = LinkServer.start(
                group, new InetSocketAddress(loopback, 0), settings(peer, peerRole), new LinkEventAdapter(peerEvents));
        group.execute(
                () -> LinkConnector.create(group, settings(entry, VmRole.ENTRY), new LinkEventAdapter(entryEvents))
                        .setAddresses(Set.of(new InetSocketAddress(loopback, server.port()))));
    }

    private static LinkSettings settings(String vm, VmRole role) {
        return LinkSettings.of(new LinkIdentity(VmId.of(vm, 1), role, "here"), SECRET);
    }
}
