package org.quetzalshunt.core.program;

import java.util.ArrayList;
import java.util.List;
import org.quetzalshunt.core.document.ServiceLimits;
import org.quetzalshunt.core.result.Outcome;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;

/** Checks whether a turn may run, builds its prompt from the history and limits its output to the remaining budget. */
final class TurnPlanner {
    /**
     * Size of new messages that the default reservation covers. Most turns are smaller, so they start without waiting
     * for a log append; a larger turn waits for one append that raises the reservation. A higher value would cost
     * programs more when their owner crashes, because the whole reservation then counts as spent.
     */
    private static final long NEW_MESSAGES_RESERVATION_BYTES = 1_024;

    private TurnPlanner() {}

    /** Tokens that the record of a turn reserves for the next turn. */
    static long defaultReservationTokens(ServiceLimits limits) {
        return limits.reservationTokens() + NEW_MESSAGES_RESERVATION_BYTES;
    }

    static Outcome<TurnStart> plan(Program program, Program budgetRoot, TurnRequest request) {
        if (program.isEnded()) {
            return refuse(
                    ResultCode.PROGRAM_ENDED, "the program ended with result code " + program.endedCode.getAsInt());
        }
        if (program.turns >= request.limits().maximumTurns()) {
            return refuse(ResultCode.TURN_LIMIT_REACHED, program.turns + " turns completed");
        }
        History history = program.history;
        boolean includesHistory = request.mode() != MessageMode.NEW && history.isPrefixOf(request.messages());
        if (!includesHistory && resemblesHistory(request, history)) {
            return refuse(
                    ResultCode.HISTORY_MISMATCH,
                    "the messages do not extend the program's history of " + history.size() + " messages");
        }
        List<byte[]> newMessages = includesHistory
                ? request.messages().subList(history.size(), request.messages().size())
                : request.messages();
        if (newMessages.isEmpty()) {
            return refuse(ResultCode.INVALID_FIELD, "the request has no new message");
        }
        return planWithinBudget(program, budgetRoot, request, newMessages);
    }

    private static boolean resemblesHistory(TurnRequest request, History history) {
        if (request.mode() == MessageMode.ALL) {
            return true;
        }
        boolean longEnough = request.messages().size() > history.size();
        return request.mode() == MessageMode.AUTOMATIC && longEnough && history.sharesFirstMessage(request.messages());
    }

    /**
     * Reserves the size of the new messages in bytes in place of their unknown token count. A token has at least one
     * byte, so this is an upper bound, and reservations that fit in the budget can never be overspent.
     */
    private static Outcome<TurnStart> planWithinBudget(
            Program program, Program budgetRoot, TurnRequest request, List<byte[]> newMessages) {
        long newBytes =
                newMessages.stream().mapToLong(message -> message.length).sum();
        long availableTokens = availableTokens(program, budgetRoot) - newBytes;
        if (availableTokens < 1) {
            return refuse(
                    ResultCode.BUDGET_EXHAUSTED,
                    "budget tokens spent: " + budgetRoot.spentTokens + " of " + budgetRoot.budgetTokens);
        }
        long requestedOutputTokens = request.maximumOutputTokens() > 0
                ? request.maximumOutputTokens()
                : request.limits().reservationTokens();
        int outputTokens = (int) Math.min(Math.min(requestedOutputTokens, availableTokens), Integer.MAX_VALUE);
        List<byte[]> prompt = new ArrayList<>(program.history.messages());
        prompt.addAll(newMessages);
        return Outcome.success(new TurnStart(
                request,
                program.turns + 1,
                prompt,
                newMessages.size(),
                outputTokens,
                newBytes + outputTokens,
                program.contextTokens,
                newBytes));
    }

    private static long availableTokens(Program program, Program budgetRoot) {
        long availableToTree = budgetRoot.budgetTokens - budgetRoot.spentTokens - budgetRoot.activeReservationTokens;
        if (budgetRoot == program) {
            return availableToTree;
        }
        return Math.min(availableToTree, program.budgetTokens - program.spentTokens - program.activeReservationTokens);
    }

    private static Outcome<TurnStart> refuse(ResultCode code, String detail) {
        return Outcome.failure(Refusal.notRun(code, detail));
    }
}
