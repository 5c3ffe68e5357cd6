package org.quetzalshunt.core.program;

import java.util.Arrays;
import java.util.Collection;
import java.util.Optional;
import java.util.OptionalInt;
import org.agrona.collections.Object2ObjectHashMap;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.vm.VmId;

/**
 * The replicated state of a shard. Whether a record is valid and what it changes depends only on the records before it,
 * so every reader of the stream reaches the same state (state machine replication with certification in log order).
 */
final class ShardState {
    private final long resultRetentionMillis;
    private final Object2ObjectHashMap<String, Program> programs = new Object2ObjectHashMap<>();
    private final ResultTable results = new ResultTable();
    private long epoch;
    private Optional<VmId> owner = Optional.empty();
    private long voidRecords;
    private long overspends;
    private long streamMillis;

    ShardState(long resultRetentionMillis) {
        this.resultRetentionMillis = resultRetentionMillis;
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

    /** The program whose budget a program's tokens are charged to: the root of its tree, or itself if that is gone. */
    Program budgetRoot(Program program) {
        Program root = programs.get(ShardNumbers.root(program.id));
        return root == null ? program : root;
    }

    /**
     * Newest timestamp of any record. Results and ended programs expire by this time and not by the reader's clock.
     * Otherwise readers would drop a result at different offsets and disagree on whether a later record is valid.
     */
    long streamMillis() {
        return streamMillis;
    }

    /** Number of records after which a program had spent more than its budget; anything but 0 is a defect. */
    long overspends() {
        return overspends;
    }

    /** Restores ownership from a checkpoint. */
    void restoreOwner(long checkpointEpoch, Optional<VmId> checkpointOwner, long checkpointMillis) {
        epoch = checkpointEpoch;
        owner = checkpointOwner;
        streamMillis = checkpointMillis;
    }

    /** Restores a program from a checkpoint. */
    void restoreProgram(Program program) {
        programs.put(program.id, program);
    }

    boolean apply(long offset, ShardRecord record) {
        streamMillis = Math.max(streamMillis, RecordTimes.of(record));
        boolean valid = applyIfValid(offset, record);
        if (!valid) {
            voidRecords++;
        }
        return valid;
    }

    private boolean applyIfValid(long offset, ShardRecord record) {
        if (record instanceof ShardRecord.Claim claim) {
            return applyClaim(offset, claim);
        }
        if (record instanceof ShardRecord.ProgramCreated created) {
            return created.epoch() == epoch && applyProgramCreated(created);
        }
        if (record instanceof ShardRecord.TurnEnded ended) {
            return ended.epoch() == epoch && applyTurnEnded(ended);
        }
        if (record instanceof ShardRecord.ReservationRaised raised) {
            return raised.epoch() == epoch && applyReservationRaised(raised);
        }
        if (record instanceof ShardRecord.BudgetCharged charged) {
            return charged.epoch() == epoch && applyBudgetCharged(charged);
        }
        if (record instanceof ShardRecord.CallIntent intent) {
            return intent.epoch() == epoch && applyCallIntent(intent);
        }
        if (record instanceof ShardRecord.CallEnded ended) {
            return ended.epoch() == epoch && applyCallEnded(ended);
        }
        if (record instanceof ShardRecord.ProgramEnded ended) {
            return ended.epoch() == epoch && applyProgramEnded(ended);
        }
        return false;
    }

    private boolean applyClaim(long offset, ShardRecord.Claim claim) {
        if (claim.basedOnEpoch() != epoch || (claim.release() && !isOwner(claim))) {
            return false;
        }
        boolean crashed = owner.isPresent() && !claim.release();
        if (crashed) {
            programs.values().forEach(this::chargeReservation);
        }
        epoch = offset + 1;
        owner = claim.release() ? Optional.empty() : Optional.of(VmId.of(claim.vm(), claim.incarnation()));
        programs.values().forEach(program -> program.activeReservationTokens = 0);
        return true;
    }

    private boolean isOwner(ShardRecord.Claim claim) {
        return owner.filter(VmId.of(claim.vm(), claim.incarnation())::equals).isPresent();
    }

    /**
     * Charges the reservation of a program after a takeover without release: the former owner may have left its next
     * turn running at an engine. Without the charge each new owner could spend the rest of the budget again.
     */
    private void chargeReservation(Program program) {
        if (program.isEnded() || program.recordedReservationTokens == 0) {
            return;
        }
        Program budgetRoot = budgetRoot(program);
        long charge = Math.min(
                program.recordedReservationTokens, Math.max(0, budgetRoot.budgetTokens - budgetRoot.spentTokens));
        spend(program, charge);
        program.recordedReservationTokens = 0;
    }

    private void spend(Program program, long tokens) {
        program.spentTokens += tokens;
        Program budgetRoot = budgetRoot(program);
        if (budgetRoot != program) {
            budgetRoot.spentTokens += tokens;
        }
        if (tokens > 0 && budgetRoot.spentTokens > budgetRoot.budgetTokens) {
            overspends++;
        }
    }

    private boolean applyProgramCreated(ShardRecord.ProgramCreated created) {
        Program existing = programs.get(created.program());
        if ((existing != null && !isExpired(existing)) || !isParentActive(created)) {
            return false;
        }
        programs.put(created.program(), new Program(created));
        return true;
    }

    /** Whether the parent, if any, is active. A sub-agent of an ended program would spend a budget no longer in use. */
    private boolean isParentActive(ShardRecord.ProgramCreated created) {
        if (created.parent().isEmpty()) {
            return true;
        }
        Program parent = programs.get(created.parent().get());
        return parent != null && !parent.isEnded() && parent.clientAccount.equals(created.clientAccount());
    }

    private boolean isExpired(Program program) {
        return program.isEnded() && program.endedMillis < streamMillis - resultRetentionMillis;
    }

    private boolean applyTurnEnded(ShardRecord.TurnEnded ended) {
        Program program = programs.get(ended.program());
        if (program == null || ended.turn() != program.turns + 1) {
            return false;
        }
        if (program.isEnded()) {
            // The program ended while the turn ran: the turn is void, but its tokens are charged to the program's root.
            if (!program.lateChargedRequestId.equals(ended.requestId())) {
                program.lateChargedRequestId = ended.requestId();
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
        program.recordedReservationTokens = ended.nextReservationTokens();
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

    private boolean applyReservationRaised(ShardRecord.ReservationRaised raised) {
        Program program = programs.get(raised.program());
        if (program == null || program.isEnded()) {
            return false;
        }
        program.recordedReservationTokens = Math.max(program.recordedReservationTokens, raised.tokens());
        return true;
    }

    private boolean applyBudgetCharged(ShardRecord.BudgetCharged charged) {
        Program program = programs.get(charged.program());
        if (program == null) {
            return false;
        }
        Program budgetRoot = budgetRoot(program);
        spend(program, Math.min(charged.tokens(), Math.max(0, budgetRoot.budgetTokens - budgetRoot.spentTokens)));
        return true;
    }

    private boolean applyCallIntent(ShardRecord.CallIntent intent) {
        boolean exists = results.find(intent.clientAccount(), intent.idempotencyKey())
                .filter(result -> result.recordedMillis() >= streamMillis - resultRetentionMillis)
                .isPresent();
        if (exists) {
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

    private boolean applyCallEnded(ShardRecord.CallEnded ended) {
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

    /** A call that ended with a failure other than an unknown outcome did not run, so a repeated request may run it. */
    private static boolean didNotRun(int resultCode) {
        return resultCode != ResultCode.OK.number() && resultCode != ResultCode.OUTCOME_UNKNOWN.number();
    }

    private boolean applyProgramEnded(ShardRecord.ProgramEnded ended) {
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
        program.history.clear();
    }

    /** Removes expired programs and results, which no longer affect the validity of records. */
    void sweep() {
        programs.values().removeIf(this::isExpired);
        results.removeBefore(streamMillis - resultRetentionMillis);
    }
}
