package org.quetzalshunt.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;

/**
 * Selects the endpoint with the lowest cost ({@link EndpointCost}) among a sample of the healthy endpoints ({@link
 * CandidateSample}), the endpoints that hold the prompt, and the one that the prompt's prefix is assigned to ({@link
 * PrefixPlacement}).
 */
final class EndpointSelector {
    private final String dataCentre;
    private final PrefixPlacement placement;
    private final EndpointCost cost;
    private final Policy policy;
    private final SplittableRandom random;

    EndpointSelector(String dataCentre, PrefixPlacement placement, Policy policy, SplittableRandom random) {
        this.dataCentre = dataCentre;
        this.placement = placement;
        this.cost = new EndpointCost(dataCentre, policy);
        this.policy = policy;
        this.random = random;
    }

    /** Returns the best of the given endpoints; empty when none can be used. */
    Optional<Selection> select(long nowMillis, List<EndpointRow> open, EngineSpeed speed, RoutingRequest request) {
        Optional<PrefixPlacement.Assignment> assignment = assignment(nowMillis, open, request);
        Selection best = null;
        for (EndpointRow row : candidates(nowMillis, open, assignment, request)) {
            long uncached = uncachedTokens(nowMillis, row, request.prompt());
            long credited = assignment
                    .filter(each -> each.endpoint().equals(row.registration.id()))
                    .map(PrefixPlacement.Assignment::creditedTokens)
                    .orElse(0L);
            double millis = cost.millis(nowMillis, row, speed, Math.max(0, uncached - credited)) + random.nextDouble();
            if (best == null || millis < best.expectedMillis()) {
                best = new Selection(row.registration, uncached, millis);
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<PrefixPlacement.Assignment> assignment(
            long nowMillis, List<EndpointRow> open, RoutingRequest request) {
        boolean usesPlacement = policy.isEnabled(Mechanism.PREFIX_AFFINITY)
                && policy.isEnabled(Mechanism.PREFIX_PLACEMENT)
                && !request.prompt().isEmpty();
        return usesPlacement ? placement.assign(nowMillis, open, request.prompt()) : Optional.empty();
    }

    /**
     * Returns the endpoints to compare: a random sample of the healthy ones and the healthy ones with affinity to the
     * prompt. If none is healthy, all endpoints that can be used are compared.
     */
    private List<EndpointRow> candidates(
            long nowMillis,
            List<EndpointRow> open,
            Optional<PrefixPlacement.Assignment> assignment,
            RoutingRequest request) {
        List<EndpointRow> usable = open.stream()
                .filter(row -> row.inFlight < request.limits().maximumInFlight())
                .filter(row -> request.limits().allows(row.registration.dataCentre()))
                .filter(row -> row.coldStart.admits(nowMillis, request.limits().coldRequestsPerSecond()))
                .filter(row -> request.workTokens() == 0 || row.canHold(request.workTokens(), request.memoryTokens()))
                .filter(row -> !request.excluded().contains(row.registration.id()))
                .toList();
        if (!policy.isEnabled(Mechanism.TWO_CHOICES)) {
            return usable;
        }
        List<EndpointRow> healthy =
                usable.stream().filter(row -> cost.isHealthy(nowMillis, row)).toList();
        if (healthy.isEmpty()) {
            return usable;
        }
        return CandidateSample.of(
                healthy,
                random,
                row -> row.registration.dataCentre().equals(dataCentre),
                row -> hasAffinity(row, assignment, request.prompt()));
    }

    private boolean hasAffinity(
            EndpointRow row, Optional<PrefixPlacement.Assignment> assignment, List<PrefixPart> prompt) {
        if (prompt.isEmpty() || !policy.isEnabled(Mechanism.PREFIX_AFFINITY)) {
            return false;
        }
        boolean assignedHere = assignment
                .filter(each -> each.endpoint().equals(row.registration.id()))
                .isPresent();
        return assignedHere || row.prefixCache.cachedParts(prompt) == prompt.size();
    }

    private long uncachedTokens(long nowMillis, EndpointRow row, List<PrefixPart> prompt) {
        if (!policy.isEnabled(Mechanism.PREFIX_AFFINITY)) {
            return 0;
        }
        return policy.isEnabled(Mechanism.PREFIX_PLACEMENT)
                ? placement.uncachedTokens(nowMillis, row, prompt)
                : row.prefixCache.uncachedTokens(prompt);
    }
}
