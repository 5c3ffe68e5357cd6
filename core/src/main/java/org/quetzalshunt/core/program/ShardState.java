package org.quetzalshunt.core.program;

import java.util.Arrays;
import java.util.Collection;
import java.util.Optional;
import java.util.OptionalInt;
import org.agrona.collections.Object2ObjectHashMap;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.vm.VmId;

/**
 * The fold of a shard's stream. The rule for each record is deterministic and looks at nothing but the records before
 * it, so every reader comes to the same state (certification on the log's order).
 */
final class ShardState {
    private final long resultMillis;
    private final Object2ObjectHashMap<String, Program> programs = new Object2ObjectHashMap<>();
    private final ResultTable results = new ResultTable();
    private long epoch;
    private Optional<VmId> owner = Optional.empty();
    private long voidRecords;
    private long overspends;
    private long streamMillis;

    ShardState(long resultMillis) {
        this.resultMillis = resultMillis;
    }

    long epoch() {
        return epoch;
    }

    Optional<VmId> owner() {
        return owner;
    }

    long voidRecords() {
        return voidRecords;
    }

    Optional<Program> program(String id) {
        return Optional.ofNullable(programs.get(id));
    }

    Collection<Program> programs() {
        return programs.values();
    }

    ResultTable results() {
        return results;
    }

    /** The program whose budget pays for a program. */
    Program payer(Program program) {
        Program root = programs.get(ShardNumbers.root(program.id));
        return root == null ? program : root;
    }

    /**
     * Latest time that a record names. Results and ended programs grow old by it and not by the reader's clock: a reader
     * that forgot earlier than another would take as valid what the other takes as void.
     */
    long streamMillis() {
        return streamMillis;
    }

    /** Records after which a program had spent more than its budget; a broken promise unless 0. */
    long overspends() {
        return overspends;
    }

    /** Restores ownership from a checkpoint. */
    void restoreOwner(long checkpointEpoch, Optional<VmId> checkpointOwner, long checkpointMillis) {
        epoch = checkpointEpoch;
        owner = checkpointOwner;
        streamMillis = checkpointMillis;
    }

    /** Puts a program of a checkpoint in its place. */
    void restore(Program program) {
        programs.put(program.id, program);
    }

    boolean apply(long offset, ShardRecord record) {
        streamMillis = Math.max(streamMillis, RecordTimes.of(record));
        boolean valid = certify(offset, record);
        if (!valid) {
            voidRecords++;
        }
        return valid;
    }

    private boolean certify(long offset, ShardRecord record) {
        if (record instanceof ShardRecord.Claim claim) {
            return claim(offset, claim);
        }
        if (record instanceof ShardRecord.ProgramCreated created) {
            return created.epoch() == epoch && create(created);
        }
        if (record instanceof ShardRecord.TurnEnded ended) {
            return ended.epoch() == epoch && endTurn(ended);
        }
        if (record instanceof ShardRecord.ReservationRaised raised) {
            return raised.epoch() == epoch && raise(raised);
        }
        if (record instanceof ShardRecord.BudgetCharged charged) {
            return charged.epoch() == epoch && charge(charged);
        }
        if (record instanceof ShardRecord.CallIntent intent) {
            return intent.epoch() == epoch && intend(intent);
        }
        if (record instanceof ShardRecord.CallEnded ended) {
            return ended.epoch() == epoch && endCall(ended);
        }
        if (record instanceof ShardRecord.ProgramEnded ended) {
            return ended.epoch() == epoch && endProgram(ended);
        }
        return false;
    }

    private boolean claim(long offset, ShardRecord.Claim claim) {
        if (claim.basedOnEpoch() != epoch || (claim.release() && !isOwner(claim))) {
            return false;
        }
        boolean crashed = owner.isPresent() && !claim.release();
        if (crashed) {
            programs.values().forEach(this::chargeReservation);
        }
        epoch = offset + 1;
        owner = claim.release() ? Optional.empty() : Optional.of(VmId.of(claim.vm(), claim.incarnation()));
        programs.values().forEach(program -> program.liveReservations = 0);
        return true;
    }

    private boolean isOwner(ShardRecord.Claim claim) {
        return owner.filter(VmId.of(claim.vm(), claim.incarnation())::equals).isPresent();
    }

    /**
     * The former owner ended without giving the shard up, so each program's next turn may be running at an engine.
     * Its reservation counts as spent; without that a program could spend its last tokens once an owner.
     */
    private void chargeReservation(Program program) {
        if (program.isEnded() || program.recordedReservation == 0) {
            return;
        }
        Program payer = payer(program);
        long charge = Math.min(program.recordedReservation, Math.max(0, payer.budgetTokens - payer.spentTokens));
        spend(program, charge);
        program.recordedReservation = 0;
    }

    private void spend(Program program, long tokens) {
        program.spentTokens += tokens;
        Program payer = payer(program);
        if (payer != program) {
            payer.spentTokens += tokens;
        }
        if (tokens > 0 && payer.spentTokens > payer.budgetTokens) {
            overspends++;
        }
    }

    private boolean create(ShardRecord.ProgramCreated created) {
        Program existing = programs.get(created.program());
        if ((existing != null && !isForgotten(existing)) || !parentLives(created)) {
            return false;
        }
        programs.put(created.program(), new Program(created));
        return true;
    }

    /** A sub-agent of a program that has ended would spend the budget of a tree that nobody looks at any more. */
    private boolean parentLives(ShardRecord.ProgramCreated created) {
        if (created.parent().isEmpty()) {
            return true;
        }
        Program parent = programs.get(created.parent().get());
        return parent != null && !parent.isEnded() && parent.clientAccount.equals(created.clientAccount());
    }

    private boolean isForgotten(Program program) {
        return program.isEnded() && program.endedMillis < streamMillis - resultMillis;
    }

    private boolean endTurn(ShardRecord.TurnEnded ended) {
        Program program = programs.get(ended.program());
        if (program == null || ended.turn() != program.turns + 1) {
            return false;
        }
        if (program.isEnded()) {
            // It ended while the turn ran: no part of it any more, but its tree has spent the tokens.
            if (!program.chargedAfterEnd.equals(ended.requestId())) {
                program.chargedAfterEnd = ended.requestId();
                spend(program, ended.spentTokens());
            }
            return false;
        }
        if (!Arrays.equals(ended.previousHash(), program.history.hash())) {
            return false;
        }
        MessageList.split(ended.messages()).forEach(program.history::append);
        if (ended.answer().length > 0) {
            program.history.append(ended.answer());
        }
        program.turns = ended.turn();
        program.lastRequestId = ended.requestId();
        program.contextTokens = ended.usage().contextTokens();
        spend(program, ended.spentTokens());
        program.recordedReservation = ended.nextReservationTokens();
        program.lastActiveMillis = ended.endedMillis();
        ended.idempotencyKey()
                .ifPresent(key -> results.put(
                        program.clientAccount,
                        key,
                        new StoredResult(
                                ended.requestId(),
                                ended.requestDigest(),
                                true,
                                0,
                                ended.stored(),
                                ended.endedMillis())));
        return true;
    }

    private boolean raise(ShardRecord.ReservationRaised raised) {
        Program program = programs.get(raised.program());
        if (program == null || program.isEnded()) {
            return false;
        }
        program.recordedReservation = Math.max(program.recordedReservation, raised.tokens());
        return true;
    }

    private boolean charge(ShardRecord.BudgetCharged charged) {
        Program program = programs.get(charged.program());
        if (program == null) {
            return false;
        }
        Program payer = payer(program);
        spend(program, Math.min(charged.tokens(), Math.max(0, payer.budgetTokens - payer.spentTokens)));
        return true;
    }

    private boolean intend(ShardRecord.CallIntent intent) {
        boolean known = results.find(intent.clientAccount(), intent.idempotencyKey())
                .filter(result -> result.millis() >= streamMillis - resultMillis)
                .isPresent();
        if (known) {
            return false;
        }
        results.put(
                intent.clientAccount(),
                intent.idempotencyKey(),
                new StoredResult(
                        intent.requestId(),
                        intent.requestDigest(),
                        false,
                        0,
                        StoredAnswer.none(),
                        intent.intendedMillis()));
        return true;
    }

    private boolean endCall(ShardRecord.CallEnded ended) {
        Optional<StoredResult> intent = results.find(ended.clientAccount(), ended.idempotencyKey());
        if (intent.isEmpty()
                || intent.get().ended()
                || !intent.get().requestId().equals(ended.requestId())) {
            return false;
        }
        if (didNotRun(ended.resultCode())) {
            results.remove(ended.clientAccount(), ended.idempotencyKey());
            return true;
        }
        results.put(
                ended.clientAccount(),
                ended.idempotencyKey(),
                new StoredResult(
                        ended.requestId(),
                        intent.get().requestDigest(),
                        true,
                        ended.resultCode(),
                        ended.stored(),
                        ended.endedMillis()));
        return true;
    }

    /** A call recorded with any other failure than an unknown outcome did not run, so a re-send may run it. */
    private static boolean didNotRun(int resultCode) {
        return resultCode != ResultCode.OK.number() && resultCode != ResultCode.OUTCOME_UNKNOWN.number();
    }

    private boolean endProgram(ShardRecord.ProgramEnded ended) {
        Program program = programs.get(ended.program());
        if (program == null || program.isEnded()) {
            return false;
        }
        end(program, ended);
        if (program.isRoot()) {
            programs.values().stream()
                    .filter(child -> child != program && !child.isEnded())
                    .filter(child -> ShardNumbers.root(child.id).equals(program.id))
                    .forEach(child -> end(child, ended));
        }
        return true;
    }

    private static void end(Program program, ShardRecord.ProgramEnded ended) {
        program.endedCode = OptionalInt.of(ended.resultCode());
        program.endedMillis = ended.endedMillis();
        program.lastActiveMillis = ended.endedMillis();
        program.history.forget();
    }

    /** Drops what no rule looks at any more. */
    void sweep() {
        programs.values().removeIf(this::isForgotten);
        results.forgetBefore(streamMillis - resultMillis);
    }
}
