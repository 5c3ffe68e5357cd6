package org.quetzalshunt.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;
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
    private final EndpointSpeeds speeds;
    private final LocalFirst localFirst;

    EndpointSelector(
            String dataCentre,
            PrefixPlacement placement,
            Policy policy,
            SplittableRandom random,
            EndpointSpeeds speeds,
            LocalFirst localFirst) {
        this.dataCentre = dataCentre;
        this.placement = placement;
        this.cost = new EndpointCost(dataCentre, policy);
        this.policy = policy;
        this.random = random;
        this.speeds = speeds;
        this.localFirst = localFirst;
    }

    /** Returns the best of the given endpoints; empty when none can be used. */
    Optional<Selection> select(long nowMillis, List<EndpointRow> rows, EngineSpeed speed, RoutingRequest request) {
        List<EndpointRow> open =
                request.options().isOn(Mechanism.LOCAL_FIRST) ? localFirst(nowMillis, rows, speed, request) : rows;
        Optional<PrefixPlacement.Assignment> assignment = assignment(nowMillis, open, request);
        Optional<CompletionTime> completion = request.options().isOn(Mechanism.SPEED_SAMPLING)
                ? Optional.of(completionTime(nowMillis, speed, request))
                : Optional.empty();
        Selection best = null;
        for (EndpointRow row : candidates(nowMillis, open, assignment, completion, request)) {
            long uncached = uncachedTokens(nowMillis, row, request.prompt());
            long credited = assignment
                    .filter(each -> each.endpoint().equals(row.registration.id()))
                    .map(PrefixPlacement.Assignment::creditedTokens)
                    .orElse(0L);
            long prefilled = Math.max(0, uncached - credited);
            double millis = completion
                            .map(each -> cost.millis(nowMillis, row, each.cost(row, prefilled)))
                            .orElseGet(() -> cost.millis(nowMillis, row, speed, prefilled))
                    + random.nextDouble();
            if (best == null || millis < best.expectedMillis()) {
                best = new Selection(row.registration, uncached, millis);
            }
        }
        return Optional.ofNullable(best);
    }

    /** Expected completion times by measured speeds. */
    private CompletionTime completionTime(long nowMillis, EngineSpeed speed, RoutingRequest request) {
        return new CompletionTime(speeds.service(nowMillis, request.service()), speed, request);
    }

    private List<EndpointRow> localFirst(
            long nowMillis, List<EndpointRow> open, EngineSpeed speed, RoutingRequest request) {
        CompletionTime completion = completionTime(nowMillis, speed, request);
        return localFirst.restrict(
                request,
                open,
                row -> cost.isHealthy(nowMillis, row),
                row -> isUsable(nowMillis, row, request),
                row -> completion.millis(row, uncachedTokens(nowMillis, row, request.prompt())));
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
            Optional<CompletionTime> completion,
            RoutingRequest request) {
        List<EndpointRow> usable =
                open.stream().filter(row -> isUsable(nowMillis, row, request)).toList();
        if (!policy.isEnabled(Mechanism.TWO_CHOICES)) {
            return usable;
        }
        List<EndpointRow> healthy =
                usable.stream().filter(row -> cost.isHealthy(nowMillis, row)).toList();
        if (healthy.isEmpty()) {
            return usable;
        }
        List<EndpointRow> preferred = request.options().isOn(Mechanism.SLOWDOWN_DETECTION)
                ? SlowPhases.withoutMarked(nowMillis, healthy)
                : healthy;
        Predicate<EndpointRow> affinity = row -> hasAffinity(row, assignment, request.prompt());
        return completion
                .map(each -> SpeedSample.of(preferred, random, each::weight, affinity))
                .orElseGet(() -> CandidateSample.of(
                        preferred, random, row -> row.registration.dataCentre().equals(dataCentre), affinity));
    }

    private static boolean isUsable(long nowMillis, EndpointRow row, RoutingRequest request) {
        EndpointLimits limits = request.limits();
        return row.inFlight < limits.maximumInFlight()
                && limits.allows(row.registration.dataCentre())
                && row.coldStart.admits(nowMillis, limits.coldRequestsPerSecond())
                && (request.workTokens() == 0 || row.canHold(request.workTokens(), request.memoryTokens()))
                && !request.excluded().contains(row.registration.id());
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
