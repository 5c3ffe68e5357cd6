package org.quetzalshunt.core.attempt;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

/** One engine, and any number of rollouts that give it orders, as former and present processes of a sidecar do. */
final class RolloutBench {
    static final long ORDER_MILLIS = 3_000;
    private static final long TICK_MILLIS = 50;
    private static final long REPORT_MILLIS = 250;

    final Set<ModelVersion> loaded = new LinkedHashSet<>();
    final List<String> history = new ArrayList<>();
    final Map<ModelVersion, WeightsAnswer> weights = new HashMap<>();
    Predicate<ModelVersion> failsToLoad = model -> false;
    boolean checksFencing;
    boolean losesAnswers;
    int fewestServing = Integer.MAX_VALUE;
    long now = 5_000_000;

    private final List<ModelRollout> rollouts = new ArrayList<>();
    private final List<Under> underWay = new ArrayList<>();
    private final Map<String, OrderAnswer> orders = new HashMap<>();
    private long highestToken = Long.MIN_VALUE;

    private record Under(String order, long endsMillis, RolloutOutput.GiveOrder given) {}

    ModelRollout startProcess() {
        ModelRollout[] made = new ModelRollout[1];
        made[0] = ModelRollout.create(output -> answer(made[0], output), now);
        rollouts.add(made[0]);
        return made[0];
    }

    /** A process that is paused gives nothing and hears nothing; what it ordered goes on at the engine. */
    void pause(ModelRollout rollout) {
        rollouts.remove(rollout);
    }

    void wake(ModelRollout rollout) {
        rollouts.add(rollout);
    }

    RolloutBench pass(long millis) {
        for (long end = now + millis; now < end; now += TICK_MILLIS) {
            carryOut();
            fewestServing = Math.min(fewestServing, loaded.size());
            for (ModelRollout rollout : List.copyOf(rollouts)) {
                if (now % REPORT_MILLIS == 0) {
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

    private void answer(ModelRollout rollout, RolloutOutput output) {
        if (output instanceof RolloutOutput.FetchWeights fetch) {
            rollout.onWeights(weights.getOrDefault(fetch.model(), new WeightsAnswer.Ready()), now);
        } else if (output instanceof RolloutOutput.GiveOrder given) {
            OrderAnswer answer = take(given);
            rollout.onOrder(losesAnswers ? new OrderAnswer.Unknown() : answer, now);
        } else if (output instanceof RolloutOutput.AskOrder ask) {
            rollout.onOrder(orders.getOrDefault(ask.order(), new OrderAnswer.Unknown()), now);
        }
    }

    private OrderAnswer take(RolloutOutput.GiveOrder given) {
        if (checksFencing && given.fencingToken() < highestToken) {
            return new OrderAnswer.Fenced();
        }
        highestToken = Math.max(highestToken, given.fencingToken());
        String id = "order-" + history.size();
        history.add((given.load() ? "load " : "unload ") + given.model());
        orders.put(id, new OrderAnswer.Running());
        underWay.add(new Under(id, now + ORDER_MILLIS, given));
        return new OrderAnswer.Accepted(id);
    }

    private void carryOut() {
        for (Under under : List.copyOf(underWay)) {
            if (under.endsMillis() <= now) {
                underWay.remove(under);
                orders.put(under.order(), finish(under.given()));
            }
        }
    }

    private OrderAnswer finish(RolloutOutput.GiveOrder given) {
        if (!given.load()) {
            loaded.remove(given.model());
            return new OrderAnswer.Done();
        }
        if (failsToLoad.test(given.model())) {
            return new OrderAnswer.Failed();
        }
        loaded.add(given.model());
        return new OrderAnswer.Done();
    }
}
