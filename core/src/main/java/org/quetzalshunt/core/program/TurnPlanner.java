package org.quetzalshunt.core.program;

import java.util.ArrayList;
import java.util.List;
import org.quetzalshunt.core.document.ServiceLimits;
import org.quetzalshunt.core.result.Outcome;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;

/** Works out whether and how a turn may run: its prompt from the history, its bound from the budget. */
final class TurnPlanner {
    /**
     * Octets of new messages that the usual reservation covers. A caller's turn is mostly smaller, so later turns cost
     * no append before their first token; a larger one waits for one append. More would charge each program more when
     * its owner crashes, since the whole reservation then counts as spent.
     */
    private static final long NEW_MESSAGES_BYTES = 1_024;

    private TurnPlanner() {}

    /** Tokens that the record of a turn sets aside for the next one. */
    static long usualReservation(ServiceLimits limits) {
        return limits.reservationTokens() + NEW_MESSAGES_BYTES;
    }

    static Outcome<TurnStart> plan(Program program, Program payer, TurnRequest request) {
        if (program.isEnded()) {
            return refuse(ResultCode.PROGRAM_ENDED, "code " + program.endedCode.getAsInt());
        }
        if (program.turns >= request.limits().maximumTurns()) {
            return refuse(ResultCode.TURN_LIMIT_REACHED, program.turns + " turns");
        }
        History history = program.history;
        boolean whole = request.mode() != MessageMode.NEW && history.isPrefixOf(request.messages());
        if (!whole && startsLikeHistory(request, history)) {
            return refuse(ResultCode.HISTORY_MISMATCH, "the history has " + history.size() + " messages");
        }
        List<byte[]> fresh = whole
                ? request.messages().subList(history.size(), request.messages().size())
                : request.messages();
        if (fresh.isEmpty()) {
            return refuse(ResultCode.INVALID_FIELD, "no new message");
        }
        return withinBudget(program, payer, request, fresh);
    }

    private static boolean startsLikeHistory(TurnRequest request, History history) {
        if (request.mode() == MessageMode.ALL) {
            return true;
        }
        boolean longEnough = request.messages().size() > history.size();
        return request.mode() == MessageMode.AUTOMATIC && longEnough && history.sharesFirstMessage(request.messages());
    }

    /**
     * The octets of the new messages bound their tokens from above, since a token has at least one octet. So the sum of
     * all reservations within the budget is a bound on what can be spent, whatever the engines count.
     */
    private static Outcome<TurnStart> withinBudget(
            Program program, Program payer, TurnRequest request, List<byte[]> fresh) {
        long newBytes = fresh.stream().mapToLong(message -> message.length).sum();
        long available = available(program, payer) - newBytes;
        if (available < 1) {
            return refuse(ResultCode.BUDGET_EXHAUSTED, "spent " + payer.spentTokens + " of " + payer.budgetTokens);
        }
        long wanted = request.maximumOutputTokens() > 0
                ? request.maximumOutputTokens()
                : request.limits().reservationTokens();
        int output = (int) Math.min(Math.min(wanted, available), Integer.MAX_VALUE);
        List<byte[]> prompt = new ArrayList<>(program.history.messages());
        prompt.addAll(fresh);
        return Outcome.success(new TurnStart(
                request,
                program.turns + 1,
                prompt,
                fresh.size(),
                output,
                newBytes + output,
                program.contextTokens,
                newBytes));
    }

    private static long available(Program program, Program payer) {
        long ofTree = payer.budgetTokens - payer.spentTokens - payer.liveReservations;
        if (payer == program) {
            return ofTree;
        }
        return Math.min(ofTree, program.budgetTokens - program.spentTokens - program.liveReservations);
    }

    private static Outcome<TurnStart> refuse(ResultCode code, String detail) {
        return Outcome.failure(Refusal.notRun(code, detail));
    }
}
