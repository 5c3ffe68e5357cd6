package org.quetzalshunt.core.program;

import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.quetzalshunt.core.document.ServiceLimits;

/**
 * A caller's request for the next turn of a program.
 *
 * @param requestId id of the request
 * @param program program; for a request outside any program, the id made for it
 * @param implicitProgram whether the request is a program of one turn of its own
 * @param clientAccount account of the key that came with it
 * @param turn turn that the caller expects this to be, counted from 1
 * @param idempotencyKey names the request over re-sends
 * @param digest digest of everything that the caller asked
 * @param messages messages in their canonical octets
 * @param mode what the messages are
 * @param maximumOutputTokens asked by the caller; 0 for the default
 * @param deadlineMillis when an answer is of no more use
 * @param limits limits of the service
 * @param service service that runs it
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
