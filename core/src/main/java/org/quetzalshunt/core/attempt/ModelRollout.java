package org.quetzalshunt.core.attempt;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Reconciles the models loaded by one engine with those that the service document names. Issues one order at a time,
 * verifies the engine's state before and after each order, and rolls back to the previous version if a load fails.
 *
 * <p>The version of the service document is the fencing token. An engine that checks it refuses orders from a former
 * process of this sidecar, or from one that reads an old document. For an engine that ignores it, this class fences as
 * far as possible: it issues no order until the engine's models have been unchanged for as long as an order of a former
 * process may take, waits as long again after every change that it did not cause, and compares the models with every
 * report, so that the effect of a stale order is undone.
 */
public final class ModelRollout {
    /**
     * How long the engine's models must be unchanged before an order. Orders of a former process that are still in
     * progress have ended by then; see docs/design/sidecar.md.
     */
    static final long QUIET_PERIOD_MILLIS = 10_000;

    /**
     * The engine's report lags by a few hundred milliseconds; an order that completed without a visible effect by then
     * has failed.
     */
    static final long READ_BACK_TIMEOUT_MILLIS = 5_000;

    /** An order whose response was lost may still be in progress; a load takes tens of seconds. */
    static final long UNKNOWN_ORDER_TIMEOUT_MILLIS = 60_000;

    /** Loads take seconds, so polling twice a second is frequent enough. */
    static final long POLL_INTERVAL_MILLIS = 500;

    /** A single failure may be transient; two consecutive failures of one load are attributed to the version. */
    static final int MAXIMUM_LOAD_TRIES = 2;

    static final long RETRY_DELAY_MILLIS = 2_000;

    private final Consumer<RolloutOutput> outputs;
    private final RolloutPlan plan = new RolloutPlan();
    private Optional<List<ModelVersion>> loaded = Optional.empty();
    private Phase phase = Phase.RESTING;
    private Optional<RolloutPlan.Step> step = Optional.empty();
    private String orderId = "";
    private long unchangedSinceMillis;
    private long notBeforeMillis;
    private long stepDueMillis;
    private long timeoutAtMillis;
    private int failures;
    private long ordersGiven;
    private boolean engineChecksFencing;

    private enum Phase {
        /** No step is in progress. */
        RESTING,
        /** Waits for the weight store's response. */
        FETCHING,
        /** Waits for the engine's response to an order. */
        ORDERING,
        /** Waits for the engine's response to a query for an order's state. */
        ASKING,
        /** The engine executes an order; the next query for its state is scheduled. */
        WORKING,
        /** Waits until the engine's report shows the effect of an order. */
        READING_BACK,
        /** The engine refused the fencing token; waits for a newer document. */
        FENCED
    }

    private ModelRollout(Consumer<RolloutOutput> outputs, long nowMillis) {
        this.outputs = outputs;
        this.unchangedSinceMillis = nowMillis;
    }

    /** Creates a rollout without a target. */
    public static ModelRollout create(Consumer<RolloutOutput> outputs, long nowMillis) {
        return new ModelRollout(outputs, nowMillis);
    }

    /**
     * Sets the models named by a version of the service document. Ignored if the version is not newer than the last one
     * or the list is empty.
     *
     * @param checksFencing whether the engine refuses old fencing tokens, so that there is no need to wait for earlier
     *     orders
     * @param stepMillis delay of this endpoint's step of the rollout; applies only while the engine serves a model that
     *     the rollout manages
     */
    public void updateTarget(
            long version, List<ModelVersion> models, boolean checksFencing, long stepMillis, long nowMillis) {
        if (!plan.updateTarget(version, models)) {
            return;
        }
        engineChecksFencing = checksFencing;
        failures = 0;
        stepDueMillis = nowMillis + stepMillis;
        if (phase == Phase.FENCED) {
            phase = Phase.RESTING;
        }
    }

    /** Handles the engine's report of its loaded models. */
    public void onLoaded(List<ModelVersion> models, long nowMillis) {
        boolean changed = loaded.isEmpty() || !new HashSet<>(loaded.get()).equals(new HashSet<>(models));
        boolean causedByOwnOrder = phase == Phase.WORKING || phase == Phase.ASKING || phase == Phase.READING_BACK;
        if (changed && !causedByOwnOrder) {
            unchangedSinceMillis = nowMillis;
        }
        loaded = Optional.of(List.copyOf(models));
        if (phase == Phase.READING_BACK && isStepInEffect()) {
            failures = 0;
            restUntil(nowMillis);
        }
    }

    /** Handles the weight store's response. */
    public void onWeights(WeightsAnswer answer, long nowMillis) {
        if (phase != Phase.FETCHING) {
            return;
        }
        if (answer instanceof WeightsAnswer.Ready) {
            sendOrderIfStillDue(nowMillis);
        } else if (answer instanceof WeightsAnswer.RateLimited rateLimited) {
            restUntil(nowMillis + rateLimited.millis());
        } else if (answer instanceof WeightsAnswer.Missing) {
            plan.rollBack();
            restUntil(nowMillis + RETRY_DELAY_MILLIS);
        } else {
            restUntil(nowMillis + RETRY_DELAY_MILLIS);
        }
    }

    /** Handles the engine's response to an order or to a query for its state. */
    public void onOrder(EngineOrderState answer, long nowMillis) {
        if (phase != Phase.ORDERING && phase != Phase.ASKING) {
            return;
        }
        if (answer instanceof EngineOrderState.Accepted accepted) {
            orderId = accepted.order();
            timeoutAtMillis = nowMillis + UNKNOWN_ORDER_TIMEOUT_MILLIS;
            pollLater(nowMillis);
        } else if (answer instanceof EngineOrderState.Running) {
            timeoutAtMillis = nowMillis + UNKNOWN_ORDER_TIMEOUT_MILLIS;
            pollLater(nowMillis);
        } else if (answer instanceof EngineOrderState.Done) {
            readBack(nowMillis + READ_BACK_TIMEOUT_MILLIS);
        } else if (answer instanceof EngineOrderState.Failed) {
            onFailure(nowMillis);
        } else if (answer instanceof EngineOrderState.Fenced) {
            phase = Phase.FENCED;
        } else {
            onUnknownAnswer(nowMillis);
        }
    }

    /** Performs the next action if it is due. */
    public void tick(long nowMillis) {
        if (phase == Phase.WORKING && nowMillis >= notBeforeMillis) {
            phase = Phase.ASKING;
            outputs.accept(new RolloutOutput.QueryOrder(orderId));
        } else if (phase == Phase.READING_BACK && nowMillis >= timeoutAtMillis) {
            onFailure(nowMillis);
        } else if (phase == Phase.RESTING && canStartStep(nowMillis)) {
            startStep();
        }
    }

    /** Returns the current status. */
    public RolloutStatus status() {
        return new RolloutStatus(
                plan.version(),
                plan.target(),
                loaded.orElse(List.of()),
                phase.name(),
                plan.isRolledBack(),
                ordersGiven);
    }

    private boolean canStartStep(long nowMillis) {
        if (plan.isEmpty() || loaded.isEmpty() || nowMillis < notBeforeMillis) {
            return false;
        }
        if (nowMillis < stepDueMillis && plan.servesManagedModel(loaded.get())) {
            return false;
        }
        return engineChecksFencing || nowMillis - unchangedSinceMillis >= QUIET_PERIOD_MILLIS;
    }

    private void startStep() {
        step = plan.nextStep(loaded.orElse(List.of()));
        if (step.isEmpty()) {
            return;
        }
        RolloutPlan.Step next = step.get();
        if (!next.load()) {
            sendOrder();
            return;
        }
        phase = Phase.FETCHING;
        outputs.accept(new RolloutOutput.FetchWeights(next.model()));
    }

    /** Compares with the plan again, because a newer document may have arrived while the weights were requested. */
    private void sendOrderIfStillDue(long nowMillis) {
        if (plan.nextStep(loaded.orElse(List.of())).equals(step)) {
            sendOrder();
            return;
        }
        restUntil(nowMillis);
    }

    private void sendOrder() {
        RolloutPlan.Step next = step.orElseThrow();
        phase = Phase.ORDERING;
        ordersGiven++;
        outputs.accept(new RolloutOutput.SendOrder(next.load(), next.model(), plan.version()));
    }

    private void pollLater(long nowMillis) {
        phase = Phase.WORKING;
        notBeforeMillis = nowMillis + POLL_INTERVAL_MILLIS;
    }

    private void readBack(long untilMillis) {
        phase = Phase.READING_BACK;
        timeoutAtMillis = untilMillis;
    }

    /**
     * Handles a lost response. The order may be in progress, so no other order is issued until its effect is visible or
     * a timeout has passed.
     */
    private void onUnknownAnswer(long nowMillis) {
        boolean asked = phase == Phase.ASKING;
        if (asked && nowMillis < timeoutAtMillis) {
            pollLater(nowMillis);
            return;
        }
        readBack(nowMillis + (asked ? READ_BACK_TIMEOUT_MILLIS : UNKNOWN_ORDER_TIMEOUT_MILLIS));
    }

    private void onFailure(long nowMillis) {
        failures++;
        boolean isLoad = step.map(RolloutPlan.Step::load).orElse(false);
        if (isLoad && failures >= MAXIMUM_LOAD_TRIES) {
            failures = 0;
            plan.rollBack();
        }
        restUntil(nowMillis + RETRY_DELAY_MILLIS);
    }

    private void restUntil(long untilMillis) {
        phase = Phase.RESTING;
        notBeforeMillis = untilMillis;
    }

    private boolean isStepInEffect() {
        List<ModelVersion> present = loaded.orElse(List.of());
        return step.map(done -> present.contains(done.model()) == done.load()).orElse(true);
    }
}
