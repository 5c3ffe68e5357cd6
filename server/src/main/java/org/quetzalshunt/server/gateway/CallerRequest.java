package org.quetzalshunt.server.gateway;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import org.quetzalshunt.core.routing.PrefixPart;

/**
 * A decoded caller request.
 *
 * @param id id that the caller gave to this attempt
 * @param host host by which the route is chosen
 * @param path path without the query
 * @param key API key of a client account; never logged
 * @param deadlineMillis the caller's timeout, counted from the arrival of the request
 * @param programLeftMillis time until its program should be finished, counted from the arrival
 * @param program program that the request belongs to
 * @param conversation the one that it belongs to: a program has one of its own and one for each of its sub-agents
 * @param previousTurn id of the turn that this one continues
 * @param tokenBudget number of tokens that all turns of the program together may generate
 * @param promptTokens number of tokens of the whole prompt
 * @param prefixParts parts of the prompt in order; requests with equal first parts share these in an engine's
 *     prompt cache
 * @param maximumTokens maximum number of tokens that this turn may generate
 * @param lengthHint caller's estimate of the tokens that this turn will generate; accurate at the median only
 * @param lastEventId id of the last event that the caller has of a stream that broke
 */
public record CallerRequest(
        String id,
        String host,
        String path,
        Optional<String> key,
        OptionalLong deadlineMillis,
        OptionalLong programLeftMillis,
        Optional<String> program,
        Optional<String> conversation,
        Optional<String> previousTurn,
        OptionalLong tokenBudget,
        OptionalLong promptTokens,
        List<PrefixPart> prefixParts,
        OptionalLong maximumTokens,
        OptionalLong lengthHint,
        OptionalLong lastEventId) {}
