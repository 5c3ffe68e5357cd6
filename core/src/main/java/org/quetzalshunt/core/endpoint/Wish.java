package org.quetzalshunt.core.endpoint;

import java.util.List;
import java.util.Set;

/**
 * What a request wants of an endpoint.
 *
 * @param service its service
 * @param excluded ids that it was already sent to
 * @param prompt parts of its prompt in order; empty for work that reads none
 * @param memoryTokens tokens that an engine of the service holds in memory
 * @param mostInFlight requests that this VM may have at one endpoint
 */
public record Wish(String service, Set<String> excluded, List<PromptPart> prompt, long memoryTokens, int mostInFlight) {
    /** What a request without a prompt wants. */
    public static Wish plain(String service, Set<String> excluded, int mostInFlight) {
        return new Wish(service, excluded, List.of(), 0, mostInFlight);
    }
}
