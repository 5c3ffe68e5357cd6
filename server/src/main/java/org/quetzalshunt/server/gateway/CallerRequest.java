package org.quetzalshunt.server.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.quetzalshunt.core.routing.PrefixPart;

/**
 * A caller's request, decoded.
 *
 * @param id the caller's id of this one attempt
 * @param host host that the route is chosen by
 * @param path path without the query
 * @param key key of a client account; never logged
 * @param deadlineMillis how long the caller waits, from now
 * @param programLeftMillis time until its program should be finished, from now
 * @param program program that the request belongs to
 * @param line the line of turns that it belongs to: one for the program itself and one for each of its sub-agents
 * @param previousTurn id of the turn that this one goes on from
 * @param tokenBudget tokens that all turns of the program may generate
 * @param promptTokens tokens of the whole prompt
 * @param prefixParts parts of the prompt in order; requests with equal first parts share them in an engine's memory
 * @param maximumTokens tokens that this turn may generate
 */
public record CallerRequest(
        String id,
        String host,
        String path,
        Optional<String> key,
        OptionalLong deadlineMillis,
        OptionalLong programLeftMillis,
        Optional<String> program,
        Optional<String> line,
        Optional<String> previousTurn,
        OptionalLong tokenBudget,
        OptionalLong promptTokens,
        List<PrefixPart> prefixParts,
        OptionalLong maximumTokens) {}
