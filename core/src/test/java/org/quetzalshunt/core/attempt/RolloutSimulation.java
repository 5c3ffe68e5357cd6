package org.quetzalshunt.core.attempt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/**
 * Simulates one engine that gets orders from any number of rollouts, as from former and current processes of a sidecar.
 */
final class RolloutSimulation {
    static final long ORDER_MILLIS = 3_000;
    private static final long TICK_INTERVAL_MILLIS = 50;
    private static final long REPORT_INTERVAL_MILLIS = 250;

    final Set<ModelVersion> loaded = new LinkedHashSet<>();
    final List<String> orderHistory = new ArrayList<>();
    final Map<ModelVersion, WeightsAnswer> weights = new HashMap<>();
    Predicate<ModelVersion> failsToLoad = model -> false;
    boolean checksFencing;
    boolean losesOrderResponses;
    int minimumLoaded = Integer.MAX_VALUE;
    long now = 5_000_000;

    private final List<ModelRollout> rollouts = new ArrayList<>();
    private final List<OrderInProgress> ordersInProgress = new ArrayList<>();
    private final Map<String, EngineOrderState> responses = new HashMap<>();
    private long highestToken = Long.MIN_VALUE;

    private record OrderInProgress(String order, long endsMillis, RolloutOutput.SendOrder given) {}

    ModelRollout startProcess() {
        ModelRollout[] created = new ModelRollout[1];
        created[0] = ModelRollout.create(output -> respond(created[0], output), now);
        rollouts.add(created[0]);
        return created[0];
    }

    /** Pauses a process: it issues no orders and receives no reports; its orders continue at the engine. */
    void pause(ModelRollout rollout) {
        rollouts.remove(rollout);
    }

    void resume(ModelRollout rollout) {
        rollouts.add(rollout);
    }

    RolloutSimulation advance(long millis) {
        for (long end = now + millis; now < end; now += TICK_INTERVAL_MILLIS) {
            completeDueOrders();
            minimumLoaded = Math.min(minimumLoaded, loaded.size());
            for (ModelRollout rollout : List.copyOf(rollouts)) {
                if (now % REPORT_INTERVAL_MILLIS == 0) {
                    rollout.onLoaded(List.copyOf(loaded), now);
                }
                rollout.tick(now);
            }
        }
        return this;
    }

    static ModelVersion model(int version) {
        return new ModelVersion("tutor", Integer.toString(version));
    }

    private void respond(ModelRollout rollout, RolloutOutput output) {
        if (output instanceof RolloutOutput.FetchWeights fetch) {
            rollout.onWeights(weights.getOrDefault(fetch.model(), new WeightsAnswer.Ready()), now);
        } else if (output instanceof RolloutOutput.SendOrder given) {
            EngineOrderState answer = accept(given);
            rollout.onOrder(losesOrderResponses ? new EngineOrderState.Unknown() : answer, now);
        } else if (output instanceof RolloutOutput.QueryOrder ask) {
            rollout.onOrder(responses.getOrDefault(ask.order(), new EngineOrderState.Unknown()), now);
        }
    }

    private EngineOrderState accept(RolloutOutput.SendOrder given) {
        if (checksFencing && given.fencingToken() < highestToken) {
            return new EngineOrderState.Fenced();
        }
        highestToken = Math.max(highestToken, given.fencingToken());
        String id = "order-" + orderHistory.size();
        orderHistory.add((given.load() ? "load " : "unload ") + given.model());
        responses.put(id, new EngineOrderState.Running());
        ordersInProgress.add(new OrderInProgress(id, now + ORDER_MILLIS, given));
        return new EngineOrderState.Accepted(id);
    }

    private void completeDueOrders() {
        for (OrderInProgress inProgress : List.copyOf(ordersInProgress)) {
            if (inProgress.endsMillis() <= now) {
                ordersInProgress.remove(inProgress);
                responses.put(inProgress.order(), complete(inProgress.given()));
            }
        }
    }

    private EngineOrderState complete(RolloutOutput.SendOrder given) {
        if (!given.load()) {
            loaded.remove(given.model());
            return new EngineOrderState.Done();
        }
        if (failsToLoad.test(given.model())) {
            return new EngineOrderState.Failed();
        }
        loaded.add(given.model());
        return new EngineOrderState.Done();
    }
}
