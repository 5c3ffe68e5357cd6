package org.quetzalshunt.wire.record;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.quetzalshunt.core.quota.LeaseRecord;
import org.quetzalshunt.core.quota.QuotaShare;
import org.quetzalshunt.core.turn.TurnRecord;
import org.quetzalshunt.wire.generated.StoredAllotment;
import org.quetzalshunt.wire.generated.StoredShare;
import org.quetzalshunt.wire.generated.StoredShares;
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

    /** Bytes of a VM's parts of the rates. */
    public static byte[] encode(LeaseRecord record) {
        List<StoredShare> shares = new ArrayList<>();
        record.shares().forEach((account, share) -> shares.add(new StoredShare(account, share.parts())));
        StoredShares stored = new StoredShares(record.incarnation(), record.sequence(), shares);
        stored.setLinkAddress(record.linkAddress());
        return MessageCodec.encode(stored);
    }

    /** A VM's parts of the rates from their bytes. */
    public static Optional<LeaseRecord> shares(byte[] bytes) {
        StoredShares stored = new StoredShares();
        if (!MessageCodec.decode(bytes, stored) || stored.getShares() == null) {
            return Optional.empty();
        }
        Map<String, QuotaShare> shares = new HashMap<>();
        for (StoredShare share : stored.getShares()) {
            if (share.getAccount() == null) {
                return Optional.empty();
            }
            shares.put(share.getAccount(), new QuotaShare(share.getParts()));
        }
        String address = Optional.ofNullable(stored.getLinkAddress()).orElse("");
        return Optional.of(new LeaseRecord(stored.getIncarnation(), stored.getSequence(), Map.copyOf(shares), address));
    }
}
