package org.quetzalshunt.core.program;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.quetzalshunt.core.document.ServiceLimits;

/**
 * A caller's request for the next turn of a program.
 *
 * @param requestId id of the request
 * @param program id of the program; for a request outside any program, a generated id
 * @param implicitProgram whether the request belongs to no program and gets one of its own, with a single turn
 * @param clientAccount client account that the caller authenticated as
 * @param turn turn number that the caller expects, counted from 1; empty for any
 * @param idempotencyKey key that is the same when the caller repeats the request
 * @param digest SHA-256 digest of the request body
 * @param messages messages in canonical form
 * @param mode whether the messages include the history
 * @param maximumOutputTokens limit on generated tokens set by the caller; 0 for the service's default
 * @param deadlineMillis time after which the caller no longer needs an answer
 * @param limits limits of the service
 * @param service service that the request is for
 */
public record TurnRequest(
        String requestId,
        String program,
        boolean implicitProgram,
        String clientAccount,
        OptionalInt turn,
        Optional<String> idempotencyKey,
        byte[] digest,
        List<byte[]> messages,
        MessageMode mode,
        int maximumOutputTokens,
        long deadlineMillis,
        ServiceLimits limits,
        String service) {}
