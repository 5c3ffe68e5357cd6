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
 * Opens a link and then hands its messages on. Guards against a stranger on the network who would give orders to a
 * sidecar: nothing is handed on before the other side proved the secret, and an unproved connection is closed soon.
 */
final class LinkHandler extends SimpleChannelInboundHandler<Message> {
    static final int PROTOCOL_VERSION = 1;
    private static final long HANDSHAKE_MILLIS = 3_000;

    private final LinkSettings settings;
    private final LinkListener listener;
    private final boolean connector;
    private Hello ownHello;
    private Hello remoteHello;
    private PeerLink link;

    LinkHandler(LinkSettings settings, LinkListener listener, boolean connector) {
        this.settings = settings;
        this.listener = listener;
        this.connector = connector;
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
                java.nio.ByteBuffer.wrap(LinkProof.challenge()));
        context.writeAndFlush(Message.hello(ownHello));
        context.executor().schedule(() -> closeUnproved(context), HANDSHAKE_MILLIS, TimeUnit.MILLISECONDS);
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
        byte[] proof = LinkProof.prove(settings.secret(), hello.getChallenge(), ownHello, connector);
        context.writeAndFlush(Message.helloProof(new HelloProof(java.nio.ByteBuffer.wrap(proof))));
    }

    private void onProof(ChannelHandlerContext context, HelloProof proof) {
        byte[] expected = LinkProof.prove(settings.secret(), ownHello.getChallenge(), remoteHello, !connector);
        Optional<VmRole> role = role(remoteHello.getRole());
        if (proof.getProof() == null || !LinkProof.verify(expected, proof.getProof()) || role.isEmpty()) {
            Logger.warn(
                    "refused a link from {}: no proof of the shared secret",
                    context.channel().remoteAddress());
            context.close();
            return;
        }
        VmId id = VmId.of(remoteHello.getVm(), remoteHello.getIncarnation());
        link = PeerLink.of(context.channel(), new LinkIdentity(id, role.get(), remoteHello.getDataCentre()));
        listener.onOpen(link);
    }

    private void closeUnproved(ChannelHandlerContext context) {
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
