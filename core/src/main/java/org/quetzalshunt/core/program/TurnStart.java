package org.quetzalshunt.core.program;

import java.util.List;

/**
 * A turn that has to be run, with its prompt and limits.
 *
 * @param request the caller's request
 * @param turn number of the turn, from 1
 * @param prompt the whole prompt: the history followed by the new messages
 * @param newMessageCount number of new messages at the end of the prompt
 * @param maximumOutputTokens limit on generated tokens, within the budget
 * @param reservationTokens tokens reserved until the turn ends
 * @param contextTokens tokens of the history, as last reported by an engine
 * @param newBytes size of the new messages, an upper bound on their tokens
 */
public record TurnStart(
        TurnRequest request,
        int turn,
        List<byte[]> prompt,
        int newMessageCount,
        int maximumOutputTokens,
        long reservationTokens,
        long contextTokens,
        long newBytes) {}
