package org.quetzalshunt.wire.record;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.quetzalshunt.core.quota.LeaseTerm;
import org.quetzalshunt.core.quota.QuotaShare;
import org.quetzalshunt.core.quota.VmHeartbeat;
import org.quetzalshunt.core.turn.TurnRecord;
import org.quetzalshunt.wire.generated.StoredAllotment;
import org.quetzalshunt.wire.generated.StoredHeartbeat;
import org.quetzalshunt.wire.generated.StoredQuotaShare;
import org.quetzalshunt.wire.generated.StoredTurn;
import org.quetzalshunt.wire.message.MessageCodec;

/** Records of the shared map as Thrift compact protocol bytes. Bytes that are no such record decode to nothing. */
public final class StoredRecords {
    /**
     * Tokens that a VM may hand out.
     *
     * @param tokens allotment
     * @param expiresMillis time of day until which it counts, in Unix milliseconds
     */
    public record Allotment(long tokens, long expiresMillis) {}

    private StoredRecords() {}

    /** Bytes of a turn; its id is its key. */
    public static byte[] encode(TurnRecord turn) {
        return MessageCodec.encode(new StoredTurn(
                turn.account(),
                turn.ancestors(),
                ByteBuffer.wrap(turn.input()),
                ByteBuffer.wrap(turn.output()),
                turn.expiresMillis()));
    }

    /** A turn from its key and bytes. */
    public static Optional<TurnRecord> turn(String id, byte[] bytes) {
        StoredTurn stored = new StoredTurn();
        if (!MessageCodec.decode(bytes, stored) || stored.getAccount() == null || stored.getAncestors() == null) {
            return Optional.empty();
        }
        if (stored.getInput() == null || stored.getOutput() == null) {
            return Optional.empty();
        }
        return Optional.of(new TurnRecord(
                id,
                stored.getAccount(),
                List.copyOf(stored.getAncestors()),
                stored.getInput(),
                stored.getOutput(),
                stored.getExpiresMillis()));
    }

    /** Bytes of an allotment. */
    public static byte[] encode(Allotment allotment) {
        return MessageCodec.encode(new StoredAllotment(allotment.tokens(), allotment.expiresMillis()));
    }

    /** An allotment from its bytes. */
    public static Optional<Allotment> allotment(byte[] bytes) {
        StoredAllotment stored = new StoredAllotment();
        if (!MessageCodec.decode(bytes, stored)) {
            return Optional.empty();
        }
        return Optional.of(new Allotment(stored.getTokens(), stored.getExpiresMillis()));
    }

    /** Bytes of a heartbeat. */
    public static byte[] encode(VmHeartbeat heartbeat) {
        return MessageCodec.encode(new StoredHeartbeat(
                heartbeat.incarnation(),
                heartbeat.epoch(),
                heartbeat.sequence(),
                heartbeat.linkAddress(),
                heartbeat.stopping()));
    }

    /** A heartbeat from its bytes. */
    public static Optional<VmHeartbeat> heartbeat(byte[] bytes) {
        StoredHeartbeat stored = new StoredHeartbeat();
        if (!MessageCodec.decode(bytes, stored) || stored.getLinkAddress() == null) {
            return Optional.empty();
        }
        return Optional.of(new VmHeartbeat(
                stored.getIncarnation(),
                stored.getEpoch(),
                stored.getSequence(),
                stored.getLinkAddress(),
                stored.isStopping()));
    }

    /** Bytes of a share of a quota. */
    public static byte[] encode(QuotaShare share) {
        LeaseTerm term = share.term();
        return MessageCodec.encode(
                new StoredQuotaShare(term.incarnation(), term.epoch(), share.sequence(), share.parts()));
    }

    /** A share of a quota from its bytes. */
    public static Optional<QuotaShare> quotaShare(byte[] bytes) {
        StoredQuotaShare stored = new StoredQuotaShare();
        if (!MessageCodec.decode(bytes, stored)) {
            return Optional.empty();
        }
        LeaseTerm term = new LeaseTerm(stored.getIncarnation(), stored.getEpoch());
        return Optional.of(new QuotaShare(term, stored.getSequence(), stored.getParts()));
    }
}
