package org.quetzalshunt.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.policy.Policy;

/**
 * Selects the endpoint at which a request costs least ({@link EndpointCost}) among a sample of the sound ones ({@link
 * CandidateSample}) and those that hold its prompt prefix or should ({@link PrefixPlacement}).
 */
final class EndpointSelector {
    private final String dataCentre;
    private final PrefixPlacement homes;
    private final EndpointCost cost;
    private final Policy policy;
    private final SplittableRandom random;

    EndpointSelector(String dataCentre, PrefixPlacement homes, Policy policy, SplittableRandom random) {
        this.dataCentre = dataCentre;
        this.homes = homes;
        this.cost = new EndpointCost(dataCentre, policy);
        this.policy = policy;
        this.random = random;
    }

    /** The best of a service's endpoints; empty when none takes work. */
    Optional<Selection> select(long nowMillis, List<EndpointRow> open, EngineSpeed speed, RoutingRequest request) {
        Optional<PrefixPlacement.Home> home = home(nowMillis, open, request);
        Selection best = null;
        for (EndpointRow row : candidates(nowMillis, open, home, request)) {
            long uncached = uncachedTokens(nowMillis, row, request.prompt());
            long spared = home.filter(each -> each.endpoint().equals(row.registration.id()))
                    .map(PrefixPlacement.Home::sparedTokens)
                    .orElse(0L);
            double millis = cost.millis(nowMillis, row, speed, Math.max(0, uncached - spared)) + random.nextDouble();
            if (best == null || millis < best.expectedMillis()) {
                best = new Selection(row.registration, uncached, millis);
            }
        }
        return Optional.ofNullable(best);
    }

    private Optional<PrefixPlacement.Home> home(long nowMillis, List<EndpointRow> open, RoutingRequest request) {
        boolean placed = policy.has(Mechanism.PREFIX_AFFINITY)
                && policy.has(Mechanism.PREFIX_PLACEMENT)
                && !request.prompt().isEmpty();
        return placed ? homes.find(nowMillis, open, request.prompt()) : Optional.empty();
    }

    /** The endpoints to compare: a few sound ones by chance, and those that hold the prompt. */
    private List<EndpointRow> candidates(
            long nowMillis, List<EndpointRow> open, Optional<PrefixPlacement.Home> home, RoutingRequest request) {
        List<EndpointRow> usable = open.stream()
                .filter(row -> row.inFlight < request.limits().maximumInFlight())
                .filter(row -> request.limits().allows(row.registration.dataCentre()))
                .filter(row -> row.coldStart.admits(nowMillis, request.limits().coldRequestsPerSecond()))
                .filter(row -> !request.excluded().contains(row.registration.id()))
                .toList();
        if (!policy.has(Mechanism.TWO_CHOICES)) {
            return usable;
        }
        List<EndpointRow> sound =
                usable.stream().filter(row -> cost.isSound(nowMillis, row)).toList();
        if (sound.isEmpty()) {
            return usable;
        }
        return CandidateSample.of(
                sound,
                random,
                row -> row.registration.dataCentre().equals(dataCentre),
                row -> isAffine(row, home, request.prompt()));
    }

    private boolean isAffine(EndpointRow row, Optional<PrefixPlacement.Home> home, List<PrefixPart> prompt) {
        if (prompt.isEmpty() || !policy.has(Mechanism.PREFIX_AFFINITY)) {
            return false;
        }
        boolean placedHere = home.filter(each -> each.endpoint().equals(row.registration.id()))
                .isPresent();
        return placedHere || row.prompts.heldParts(prompt) == prompt.size();
    }

    private long uncachedTokens(long nowMillis, EndpointRow row, List<PrefixPart> prompt) {
        if (!policy.has(Mechanism.PREFIX_AFFINITY)) {
            return 0;
        }
        return policy.has(Mechanism.PREFIX_PLACEMENT)
                ? homes.uncachedTokens(nowMillis, row, prompt)
                : row.prompts.uncachedTokens(prompt);
    }
}
