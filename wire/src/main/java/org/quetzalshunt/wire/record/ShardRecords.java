package org.quetzalshunt.wire.record;

import java.nio.ByteBuffer;
import java.util.Optional;
import org.quetzalshunt.core.program.ShardRecord;
import org.quetzalshunt.core.program.ShardRecordCodec;
import org.quetzalshunt.core.program.StoredAnswer;
import org.quetzalshunt.core.program.TokenUsage;
import org.quetzalshunt.wire.generated.BudgetCharged;
import org.quetzalshunt.wire.generated.CallEnded;
import org.quetzalshunt.wire.generated.CallIntent;
import org.quetzalshunt.wire.generated.ClaimRecord;
import org.quetzalshunt.wire.generated.ProgramCreated;
import org.quetzalshunt.wire.generated.ProgramEnded;
import org.quetzalshunt.wire.generated.ReservationRaised;
import org.quetzalshunt.wire.generated.ShardCheckpoint;
import org.quetzalshunt.wire.generated.TurnEnded;
import org.quetzalshunt.wire.message.MessageCodec;

/**
 * Encodes and decodes the records of the shard streams, in the Thrift compact protocol. A record without one of its
 * mandatory strings or byte arrays is malformed; an absent number is decoded as 0.
 */
public final class ShardRecords implements ShardRecordCodec {
    private ShardRecords() {}

    /** Creates the codec, which is stateless. */
    public static ShardRecords create() {
        return new ShardRecords();
    }

    @Override
    public byte[] encode(ShardRecord record) {
        return MessageCodec.encode(toThrift(record));
    }

    @Override
    public Optional<ShardRecord> decode(byte[] bytes) {
        org.quetzalshunt.wire.generated.ShardRecord record = new org.quetzalshunt.wire.generated.ShardRecord();
        if (!MessageCodec.decode(bytes, record) || !record.isSet()) {
            return Optional.empty();
        }
        try {
            return Optional.ofNullable(fromThrift(record));
        } catch (NullPointerException missingField) {
            return Optional.empty();
        }
    }

    private static org.quetzalshunt.wire.generated.ShardRecord toThrift(ShardRecord record) {
        if (record instanceof ShardRecord.Claim claim) {
            return org.quetzalshunt.wire.generated.ShardRecord.claim(
                    new ClaimRecord(claim.basedOnEpoch(), claim.vm(), claim.incarnation(), claim.release()));
        }
        if (record instanceof ShardRecord.ProgramCreated created) {
            return org.quetzalshunt.wire.generated.ShardRecord.programCreated(programCreated(created));
        }
        if (record instanceof ShardRecord.TurnEnded ended) {
            return org.quetzalshunt.wire.generated.ShardRecord.turnEnded(turnEnded(ended));
        }
        if (record instanceof ShardRecord.ReservationRaised raised) {
            return org.quetzalshunt.wire.generated.ShardRecord.reservationRaised(
                    new ReservationRaised(raised.epoch(), raised.program(), raised.tokens()));
        }
        if (record instanceof ShardRecord.BudgetCharged charged) {
            return org.quetzalshunt.wire.generated.ShardRecord.budgetCharged(
                    new BudgetCharged(charged.epoch(), charged.program(), charged.tokens()));
        }
        if (record instanceof ShardRecord.CallIntent intent) {
            return org.quetzalshunt.wire.generated.ShardRecord.callIntent(new CallIntent(
                    intent.epoch(),
                    intent.clientAccount(),
                    intent.idempotencyKey(),
                    intent.service(),
                    intent.requestId(),
                    ByteBuffer.wrap(intent.requestDigest()),
                    intent.intendedMillis()));
        }
        if (record instanceof ShardRecord.CallEnded ended) {
            return org.quetzalshunt.wire.generated.ShardRecord.callEnded(callEnded(ended));
        }
        if (record instanceof ShardRecord.ProgramEnded ended) {
            return org.quetzalshunt.wire.generated.ShardRecord.programEnded(
                    new ProgramEnded(ended.epoch(), ended.program(), ended.resultCode(), ended.endedMillis()));
        }
        ShardRecord.Checkpoint checkpoint = (ShardRecord.Checkpoint) record;
        return org.quetzalshunt.wire.generated.ShardRecord.checkpoint(new ShardCheckpoint(
                checkpoint.epoch(),
                checkpoint.coversBelow(),
                checkpoint.part(),
                checkpoint.parts(),
                ByteBuffer.wrap(checkpoint.state())));
    }

    private static ProgramCreated programCreated(ShardRecord.ProgramCreated created) {
        ProgramCreated thrift = new ProgramCreated();
        thrift.setEpoch(created.epoch());
        thrift.setProgram(created.program());
        thrift.setClientAccount(created.clientAccount());
        created.parent().ifPresent(thrift::setParent);
        thrift.setBudgetTokens(created.budgetTokens());
        thrift.setReservationTokens(created.reservationTokens());
        thrift.setCreatedMillis(created.createdMillis());
        thrift.setImplicitProgram(created.implicitProgram());
        thrift.setRequestId(created.requestId());
        return thrift;
    }

    private static TurnEnded turnEnded(ShardRecord.TurnEnded ended) {
        TurnEnded thrift = new TurnEnded();
        thrift.setEpoch(ended.epoch());
        thrift.setProgram(ended.program());
        thrift.setTurn(ended.turn());
        thrift.setRequestId(ended.requestId());
        ended.idempotencyKey().ifPresent(thrift::setIdempotencyKey);
        thrift.setRequestDigest(ended.requestDigest());
        thrift.setPreviousHash(ended.previousHash());
        thrift.setMessages(ended.messages());
        // A request with an idempotency key may be repeated, so its whole response is stored. Without a key, only the
        // answer is stored.
        thrift.setAnswer(ended.answer());
        thrift.setStatus(ended.stored().status());
        thrift.setContentType(ended.stored().contentType());
        thrift.setStored(ended.idempotencyKey().isPresent() ? ended.stored().body() : new byte[0]);
        thrift.setPromptTokens(ended.usage().promptTokens());
        thrift.setCachedTokens(ended.usage().cachedTokens());
        thrift.setCompletionTokens(ended.usage().completionTokens());
        thrift.setSpentTokens(ended.spentTokens());
        thrift.setNextReservationTokens(ended.nextReservationTokens());
        thrift.setEndedMillis(ended.endedMillis());
        return thrift;
    }

    private static CallEnded callEnded(ShardRecord.CallEnded ended) {
        CallEnded thrift = new CallEnded();
        thrift.setEpoch(ended.epoch());
        thrift.setClientAccount(ended.clientAccount());
        thrift.setIdempotencyKey(ended.idempotencyKey());
        thrift.setRequestId(ended.requestId());
        thrift.setResultCode(ended.resultCode());
        thrift.setStatus(ended.stored().status());
        thrift.setContentType(ended.stored().contentType());
        thrift.setAnswer(ended.stored().body());
        thrift.setEndedMillis(ended.endedMillis());
        return thrift;
    }

    private static ShardRecord fromThrift(org.quetzalshunt.wire.generated.ShardRecord record) {
        return switch (record.getSetField()) {
            case CLAIM -> claim(record.getClaim());
            case PROGRAM_CREATED -> programCreated(record.getProgramCreated());
            case TURN_ENDED -> turnEnded(record.getTurnEnded());
            case RESERVATION_RAISED ->
                new ShardRecord.ReservationRaised(
                        record.getReservationRaised().getEpoch(),
                        required(record.getReservationRaised().getProgram()),
                        record.getReservationRaised().getTokens());
            case BUDGET_CHARGED ->
                new ShardRecord.BudgetCharged(
                        record.getBudgetCharged().getEpoch(),
                        required(record.getBudgetCharged().getProgram()),
                        record.getBudgetCharged().getTokens());
            case CALL_INTENT -> callIntent(record.getCallIntent());
            case CALL_ENDED -> callEnded(record.getCallEnded());
            case PROGRAM_ENDED ->
                new ShardRecord.ProgramEnded(
                        record.getProgramEnded().getEpoch(),
                        required(record.getProgramEnded().getProgram()),
                        record.getProgramEnded().getResultCode(),
                        record.getProgramEnded().getEndedMillis());
            case CHECKPOINT ->
                new ShardRecord.Checkpoint(
                        record.getCheckpoint().getEpoch(),
                        record.getCheckpoint().getCoversBelow(),
                        record.getCheckpoint().getPart(),
                        record.getCheckpoint().getParts(),
                        required(record.getCheckpoint().getState()));
            default -> null;
        };
    }

    private static ShardRecord claim(ClaimRecord claim) {
        return new ShardRecord.Claim(
                claim.getBasedOnEpoch(), required(claim.getVm()), claim.getIncarnation(), claim.isRelease());
    }

    private static ShardRecord programCreated(ProgramCreated created) {
        return new ShardRecord.ProgramCreated(
                created.getEpoch(),
                required(created.getProgram()),
                required(created.getClientAccount()),
                Optional.ofNullable(created.getParent()),
                created.getBudgetTokens(),
                created.getReservationTokens(),
                created.getCreatedMillis(),
                created.isImplicitProgram(),
                required(created.getRequestId()));
    }

    private static ShardRecord turnEnded(TurnEnded ended) {
        return new ShardRecord.TurnEnded(
                ended.getEpoch(),
                required(ended.getProgram()),
                ended.getTurn(),
                required(ended.getRequestId()),
                Optional.ofNullable(ended.getIdempotencyKey()),
                required(ended.getRequestDigest()),
                required(ended.getPreviousHash()),
                required(ended.getMessages()),
                required(ended.getAnswer()),
                new StoredAnswer(ended.getStatus(), required(ended.getContentType()), required(ended.getStored())),
                new TokenUsage(ended.getPromptTokens(), ended.getCachedTokens(), ended.getCompletionTokens()),
                ended.getSpentTokens(),
                ended.getNextReservationTokens(),
                ended.getEndedMillis());
    }

    private static ShardRecord callIntent(CallIntent intent) {
        return new ShardRecord.CallIntent(
                intent.getEpoch(),
                required(intent.getClientAccount()),
                required(intent.getIdempotencyKey()),
                required(intent.getServiceName()),
                required(intent.getRequestId()),
                required(intent.getRequestDigest()),
                intent.getIntendedMillis());
    }

    private static ShardRecord callEnded(CallEnded ended) {
        return new ShardRecord.CallEnded(
                ended.getEpoch(),
                required(ended.getClientAccount()),
                required(ended.getIdempotencyKey()),
                required(ended.getRequestId()),
                ended.getResultCode(),
                new StoredAnswer(ended.getStatus(), required(ended.getContentType()), required(ended.getAnswer())),
                ended.getEndedMillis());
    }

    private static String required(String value) {
        return java.util.Objects.requireNonNull(value);
    }

    private static byte[] required(byte[] value) {
        return java.util.Objects.requireNonNull(value);
    }
}
