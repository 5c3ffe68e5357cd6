package org.quetzalshunt.wire.message;

import java.util.List;
import java.util.Optional;
import org.quetzalshunt.core.limit.AccountKey;
import org.quetzalshunt.core.limit.LimitMessage;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.wire.generated.LimitAcknowledgement;
import org.quetzalshunt.wire.generated.LimitCarryAcknowledgement;
import org.quetzalshunt.wire.generated.LimitCarryReport;
import org.quetzalshunt.wire.generated.LimitHolding;
import org.quetzalshunt.wire.generated.LimitLeaseRequest;
import org.quetzalshunt.wire.generated.LimitLeaseWord;
import org.quetzalshunt.wire.generated.LimitRequest;
import org.quetzalshunt.wire.generated.LimitTransfer;
import org.quetzalshunt.wire.generated.Message;

/** Converts the messages by which entries distribute the rate limits of accounts to Thrift values and back. */
public final class LimitMessageCodec {
    private LimitMessageCodec() {}

    /** Converts a message to its Thrift value. */
    public static Message write(LimitMessage message) {
        if (message instanceof LimitMessage.Request request) {
            return Message.limitRequest(writeRequest(request));
        }
        if (message instanceof LimitMessage.Transfer transfer) {
            return Message.limitTransfer(writeTransfer(transfer));
        }
        if (message instanceof LimitMessage.TransferAcknowledgement acknowledgement) {
            return Message.limitAcknowledgement(new LimitAcknowledgement()
                    .setGeneration(acknowledgement.generation())
                    .setTransfer(acknowledgement.transfer()));
        }
        if (message instanceof LimitMessage.CarryReport report) {
            return Message.limitCarryReport(writeReport(report));
        }
        if (message instanceof LimitMessage.CarryAcknowledgement acknowledgement) {
            return Message.limitCarryAcknowledgement(new LimitCarryAcknowledgement(acknowledgement.generation()));
        }
        if (message instanceof LimitMessage.LeaseRequest request) {
            return Message.limitLeaseRequest(new LimitLeaseRequest(request.generation(), request.sentMillis()));
        }
        LimitMessage.LeaseConfirmation confirmation = (LimitMessage.LeaseConfirmation) message;
        return Message.limitLeaseWord(new LimitLeaseWord(confirmation.generation(), confirmation.sentMillis()));
    }

    /** Converts a Thrift value to a message; empty for other kinds of messages and if a required field is absent. */
    public static Optional<LimitMessage> read(Message message) {
        return switch (message.getSetField()) {
            case LIMIT_REQUEST -> readRequest(message.getLimitRequest());
            case LIMIT_TRANSFER -> readTransfer(message.getLimitTransfer());
            case LIMIT_ACKNOWLEDGEMENT ->
                Optional.of(new LimitMessage.TransferAcknowledgement(
                        message.getLimitAcknowledgement().getGeneration(),
                        message.getLimitAcknowledgement().getTransfer()));
            case LIMIT_CARRY_REPORT -> readReport(message.getLimitCarryReport());
            case LIMIT_CARRY_ACKNOWLEDGEMENT ->
                Optional.of(new LimitMessage.CarryAcknowledgement(
                        message.getLimitCarryAcknowledgement().getGeneration()));
            case LIMIT_LEASE_REQUEST ->
                Optional.of(new LimitMessage.LeaseRequest(
                        message.getLimitLeaseRequest().getGeneration(),
                        message.getLimitLeaseRequest().getSentMillis()));
            case LIMIT_LEASE_WORD ->
                Optional.of(new LimitMessage.LeaseConfirmation(
                        message.getLimitLeaseWord().getGeneration(),
                        message.getLimitLeaseWord().getSentMillis()));
            default -> Optional.empty();
        };
    }

    private static LimitRequest writeRequest(LimitMessage.Request request) {
        return new LimitRequest()
                .setGeneration(request.generation())
                .setServiceName(request.key().service())
                .setClientAccount(request.key().account())
                .setAsker(request.requester().name())
                .setIncarnation(request.requester().incarnation())
                .setWantedMicroTokens(request.wantedMicroTokens())
                .setHeldParts(request.heldParts())
                .setDemandMilliTokens(request.demandMilliTokens())
                .setPassedOn(request.forwarded());
    }

    private static Optional<LimitMessage> readRequest(LimitRequest request) {
        if (request.getServiceName() == null || request.getClientAccount() == null || request.getAsker() == null) {
            return Optional.empty();
        }
        return Optional.of(new LimitMessage.Request(
                request.getGeneration(),
                new AccountKey(request.getServiceName(), request.getClientAccount()),
                VmId.of(request.getAsker(), request.getIncarnation()),
                request.getWantedMicroTokens(),
                request.getHeldParts(),
                request.getDemandMilliTokens(),
                request.isPassedOn()));
    }

    private static LimitTransfer writeTransfer(LimitMessage.Transfer transfer) {
        return new LimitTransfer()
                .setGeneration(transfer.generation())
                .setTransfer(transfer.transfer())
                .setSettledBelow(transfer.settledBelow())
                .setServiceName(transfer.key().service())
                .setClientAccount(transfer.key().account())
                .setRatePartsPerMillion(transfer.parts())
                .setMicroTokens(transfer.microTokens());
    }

    private static Optional<LimitMessage> readTransfer(LimitTransfer transfer) {
        if (transfer.getServiceName() == null || transfer.getClientAccount() == null) {
            return Optional.empty();
        }
        return Optional.of(new LimitMessage.Transfer(
                transfer.getGeneration(),
                transfer.getTransfer(),
                transfer.getSettledBelow(),
                new AccountKey(transfer.getServiceName(), transfer.getClientAccount()),
                transfer.getRatePartsPerMillion(),
                transfer.getMicroTokens()));
    }

    private static LimitCarryReport writeReport(LimitMessage.CarryReport report) {
        List<LimitHolding> holdings = report.holdings().stream()
                .map(holding ->
                        new LimitHolding(holding.key().service(), holding.key().account(), holding.parts()))
                .toList();
        return new LimitCarryReport(report.generation(), holdings);
    }

    private static Optional<LimitMessage> readReport(LimitCarryReport report) {
        if (report.getHoldings() == null) {
            return Optional.empty();
        }
        List<LimitMessage.Holding> holdings = report.getHoldings().stream()
                .map(holding -> new LimitMessage.Holding(
                        new AccountKey(
                                String.valueOf(holding.getServiceName()), String.valueOf(holding.getClientAccount())),
                        holding.getPartsPerMillion()))
                .toList();
        return Optional.of(new LimitMessage.CarryReport(report.getGeneration(), holdings));
    }
}
