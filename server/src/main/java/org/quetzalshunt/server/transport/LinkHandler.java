package org.quetzalshunt.server.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.core.vm.VmRole;
import org.quetzalshunt.wire.generated.Hello;
import org.quetzalshunt.wire.generated.HelloProof;
import org.quetzalshunt.wire.generated.Message;
import org.tinylog.Logger;

/**
 * Performs the handshake of a link and then passes its messages to the listener. Guards against unauthorised peers on
 * the network that would give orders to a sidecar: no message is passed on before the peer has proved the shared
 * secret, and a connection without proof is closed after the handshake timeout.
 */
final class LinkHandler extends SimpleChannelInboundHandler<Message> {
    static final int PROTOCOL_VERSION = 1;
    private static final long HANDSHAKE_TIMEOUT_MILLIS = 3_000;

    private final LinkSettings settings;
    private final LinkListener listener;
    private final boolean isConnector;
    private Hello ownHello;
    private Hello remoteHello;
    private PeerLink link;

    LinkHandler(LinkSettings settings, LinkListener listener, boolean isConnector) {
        this.settings = settings;
        this.listener = listener;
        this.isConnector = isConnector;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        LinkIdentity self = settings.self();
        ownHello = new Hello(
                PROTOCOL_VERSION,
                self.id().name(),
                self.id().incarnation(),
                self.role().name(),
                self.dataCentre(),
                java.nio.ByteBuffer.wrap(LinkProof.newChallenge()));
        context.writeAndFlush(Message.hello(ownHello));
        context.executor()
                .schedule(() -> closeUnauthenticated(context), HANDSHAKE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Message message) {
        if (link != null) {
            listener.onMessage(link, message);
            return;
        }
        if (message.isSetHello() && remoteHello == null) {
            onHello(context, message.getHello());
            return;
        }
        if (message.isSetHelloProof() && remoteHello != null) {
            onProof(context, message.getHelloProof());
            return;
        }
        context.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (link != null) {
            listener.onClose(link);
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        Logger.debug("link from {} closed: {}", context.channel().remoteAddress(), cause.toString());
        context.close();
    }

    private void onHello(ChannelHandlerContext context, Hello hello) {
        if (hello.getVm() == null
                || hello.getRole() == null
                || hello.getDataCentre() == null
                || hello.getChallenge() == null
                || hello.getChallenge().length != LinkProof.CHALLENGE_BYTES) {
            context.close();
            return;
        }
        remoteHello = hello;
        byte[] proof = LinkProof.computeProof(settings.secret(), hello.getChallenge(), ownHello, isConnector);
        context.writeAndFlush(Message.helloProof(new HelloProof(java.nio.ByteBuffer.wrap(proof))));
    }

    private void onProof(ChannelHandlerContext context, HelloProof proof) {
        byte[] expected = LinkProof.computeProof(settings.secret(), ownHello.getChallenge(), remoteHello, !isConnector);
        Optional<VmRole> role = role(remoteHello.getRole());
        if (proof.getProof() == null || !LinkProof.verify(expected, proof.getProof()) || role.isEmpty()) {
            Logger.warn(
                    "refused link from {}: peer did not prove the shared secret or has an unknown role",
                    context.channel().remoteAddress());
            context.close();
            return;
        }
        VmId id = VmId.of(remoteHello.getVm(), remoteHello.getIncarnation());
        link = PeerLink.of(context.channel(), new LinkIdentity(id, role.get(), remoteHello.getDataCentre()));
        listener.onOpen(link);
    }

    private void closeUnauthenticated(ChannelHandlerContext context) {
        if (link == null) {
            context.close();
        }
    }

    private static Optional<VmRole> role(String name) {
        for (VmRole role : VmRole.values()) {
            if (role.name().equals(name)) {
                return Optional.of(role);
            }
        }
        return Optional.empty();
    }
}
