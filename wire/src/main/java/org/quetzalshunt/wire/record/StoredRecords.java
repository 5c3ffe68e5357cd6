package org.quetzalshunt.wire.record;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.quetzalshunt.core.quota.LeaseTerm;
import org.quetzalshunt.core.quota.QuotaLeases;
import org.quetzalshunt.core.quota.QuotaShare;
import org.quetzalshunt.core.quota.VmHeartbeat;
import org.quetzalshunt.core.turn.TurnRecord;
import org.quetzalshunt.wire.generated.StoredAllotment;
import org.quetzalshunt.wire.generated.StoredChainCopy;
import org.quetzalshunt.wire.generated.StoredHeartbeat;
import org.quetzalshunt.wire.generated.StoredQuotaShare;
import org.quetzalshunt.wire.generated.StoredTurn;
import org.quetzalshunt.wire.message.MessageCodec;

/**
 * Encodes and decodes the records of the shared map, in the Thrift compact protocol. Malformed bytes decode to an
 * empty result.
 */
public final class StoredRecords {
    /**
     * Tokens of a program's budget that are allotted to a VM.
     *
     * @param tokens number of allotted tokens
     * @param expiresMillis end of its validity, in Unix milliseconds
     */
    public record Allotment(long tokens, long expiresMillis) {}

    /** Far above any budget; sums over all VMs stay in range. */
    private static final long MAXIMUM_TOKENS = 1L << 53;

    private StoredRecords() {}

    /** Encodes a turn without its id, which is the key of the record. */
    public static byte[] encode(TurnRecord turn) {
        return MessageCodec.encode(storedTurn(turn).setAccount(turn.account()).setAncestors(turn.ancestors()));
    }

    private static StoredTurn storedTurn(TurnRecord turn) {
        return new StoredTurn()
                .setInput(turn.input())
                .setOutput(turn.output())
                .setExpiresMillis(turn.expiresMillis())
                .setCopiedAncestors(turn.copiedAncestors());
    }

    /** Decodes a turn from its key and its record. */
    public static Optional<TurnRecord> turn(String id, byte[] bytes) {
        StoredTurn stored = new StoredTurn();
        if (!MessageCodec.decode(bytes, stored) || stored.getAccount() == null || stored.getAncestors() == null) {
            return Optional.empty();
        }
        if (stored.getInput() == null || stored.getOutput() == null) {
            return Optional.empty();
        }
        return Optional.of(turnRecord(id, stored.getAccount(), List.copyOf(stored.getAncestors()), stored));
    }

    private static TurnRecord turnRecord(String id, String account, List<String> ancestors, StoredTurn stored) {
        int copiedAncestors = Math.max(0, Math.min(ancestors.size(), stored.getCopiedAncestors()));
        return new TurnRecord(
                id,
                account,
                ancestors,
                stored.getInput(),
                stored.getOutput(),
                stored.getExpiresMillis(),
                copiedAncestors);
    }

    /**
     * Encodes copies of consecutive ancestors of a turn.
     *
     * @param firstPosition position of the first of them among the ancestors
     */
    public static byte[] encodeChainCopy(int firstPosition, List<TurnRecord> turns) {
        return MessageCodec.encode(new StoredChainCopy(
                firstPosition, turns.stream().map(StoredRecords::storedTurn).toList()));
    }

    /** Decodes copies of ancestors that were stored beside a turn. */
    public static List<TurnRecord> chainCopy(TurnRecord holder, byte[] bytes) {
        StoredChainCopy stored = new StoredChainCopy();
        if (!MessageCodec.decode(bytes, stored) || stored.getTurns() == null || stored.getFirstPosition() < 0) {
            return List.of();
        }
        List<TurnRecord> turns = new ArrayList<>();
        List<String> ancestors = holder.ancestors();
        int position = stored.getFirstPosition();
        for (StoredTurn turn : stored.getTurns()) {
            if (position >= ancestors.size() || turn.getInput() == null || turn.getOutput() == null) {
                return List.of();
            }
            turns.add(turnRecord(
                    ancestors.get(position), holder.account(), List.copyOf(ancestors.subList(0, position)), turn));
            position++;
        }
        return turns;
    }

    /** Encodes an allotment. */
    public static byte[] encode(Allotment allotment) {
        return MessageCodec.encode(new StoredAllotment(allotment.tokens(), allotment.expiresMillis()));
    }

    /** Decodes an allotment; empty for a number of tokens that no gateway allots. */
    public static Optional<Allotment> allotment(byte[] bytes) {
        StoredAllotment stored = new StoredAllotment();
        if (!MessageCodec.decode(bytes, stored) || stored.getTokens() < 0 || stored.getTokens() > MAXIMUM_TOKENS) {
            return Optional.empty();
        }
        return Optional.of(new Allotment(stored.getTokens(), stored.getExpiresMillis()));
    }

    /** Encodes a heartbeat. */
    public static byte[] encode(VmHeartbeat heartbeat) {
        return MessageCodec.encode(new StoredHeartbeat(
                heartbeat.incarnation(),
                heartbeat.epoch(),
                heartbeat.sequence(),
                heartbeat.linkAddress(),
                heartbeat.stopping()));
    }

    /** Decodes a heartbeat. */
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

    /** Encodes a quota share. */
    public static byte[] encode(QuotaShare share) {
        LeaseTerm term = share.term();
        return MessageCodec.encode(
                new StoredQuotaShare(term.incarnation(), term.epoch(), share.sequence(), share.parts()));
    }

    /** Decodes a quota share; empty for a number of parts that no share has. */
    public static Optional<QuotaShare> quotaShare(byte[] bytes) {
        StoredQuotaShare stored = new StoredQuotaShare();
        boolean decoded = MessageCodec.decode(bytes, stored);
        if (!decoded || stored.getParts() < 0 || stored.getParts() > QuotaLeases.ALL_PARTS) {
            return Optional.empty();
        }
        LeaseTerm term = new LeaseTerm(stored.getIncarnation(), stored.getEpoch());
        return Optional.of(new QuotaShare(term, stored.getSequence(), stored.getParts()));
    }
}
