package org.quetzalshunt.core.program;

import java.util.List;

/**
 * A turn that may run now.
 *
 * @param request what the caller asked
 * @param turn number of the turn, from 1
 * @param prompt the whole prompt: history and new messages
 * @param newMessages how many of them, at the end, are new
 * @param maximumOutputTokens bound on generated tokens, within the budget
 * @param reservation tokens set aside until the turn ends
 * @param contextTokens tokens of the history as last counted by an engine
 * @param newBytes octets of the new messages, an upper bound on their tokens
 */
public record TurnStart(
        TurnRequest request,
        int turn,
        List<byte[]> prompt,
        int newMessages,
        int maximumOutputTokens,
        long reservation,
        long contextTokens,
        long newBytes) {}
