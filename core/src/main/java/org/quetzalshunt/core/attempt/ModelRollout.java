package org.quetzalshunt.core.attempt;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Brings one engine's models to what the service's document names: one order at a time, the state read before and
 * after each, back to the former version if a load fails.
 *
 * <p>The document's version is the fencing token. An engine that checks it refuses a former process of this sidecar,
 * or one that reads an old document. For one that ignores it, this class is the fence as far as can be: it gives no
 * order before the engine's models stood still for as long as a former process's order may take, again so after every
 * change that is not its own, and it compares again with every report, so that an order that slips through is undone.
 */
public final class ModelRollout {
    /** Orders of a former process that are still under way are over by then; see docs/design/sidecar.md. */
    static final long FORMER_ORDER_MILLIS = 10_000;

    /** The engine's report lags by some hundred milliseconds; an order that is done but not seen by then failed. */
    static final long READ_BACK_MILLIS = 5_000;

    /** An order whose answer was lost may still be under way; a load takes tens of seconds. */
    static final long UNKNOWN_ORDER_MILLIS = 60_000;

    /** Loads take seconds, so asking twice a second is soon enough. */
    static final long ASK_MILLIS = 500;

    /** A failure may be a hiccup; two in a row of one load are the version's. */
    static final int LOAD_TRIES = 2;

    static final long RETRY_MILLIS = 2_000;

    private final Consumer<RolloutOutput> outputs;
    private final RolloutPlan plan = new RolloutPlan();
    private Optional<List<ModelVersion>> loaded = Optional.empty();
    private Phase phase = Phase.RESTING;
    private Optional<RolloutPlan.Step> step = Optional.empty();
    private String order = "";
    private long stillSinceMillis;
    private long notBeforeMillis;
    private long stepAtMillis;
    private long giveUpMillis;
    private int failures;
    private long ordersGiven;
    private boolean engineChecksFencing;

    private enum Phase {
        RESTING,
        FETCHING,
        ORDERING,
        ASKING,
        WORKING,
        READING_BACK,
        FENCED
    }

    private ModelRollout(Consumer<RolloutOutput> outputs, long nowMillis) {
        this.outputs = outputs;
        this.stillSinceMillis = nowMillis;
    }

    /** Makes a rollout that wants nothing yet. */
    public static ModelRollout create(Consumer<RolloutOutput> outputs, long nowMillis) {
        return new ModelRollout(outputs, nowMillis);
    }

    /**
     * The document names models; an older version than the last is void, and so is an empty list.
     *
     * @param checksFencing whether the engine refuses old fencing tokens, so that nothing must be waited out
     * @param stepMillis delay of this endpoint's step of the rollout, counted only where it replaces what serves
     */
    public void desire(
            long version, List<ModelVersion> models, boolean checksFencing, long stepMillis, long nowMillis) {
        if (!plan.desire(version, models)) {
            return;
        }
        engineChecksFencing = checksFencing;
        failures = 0;
        stepAtMillis = nowMillis + stepMillis;
        if (phase == Phase.FENCED) {
            phase = Phase.RESTING;
        }
    }

    /** The engine named its models. */
    public void onLoaded(List<ModelVersion> models, long nowMillis) {
        boolean changed = loaded.isEmpty() || !new HashSet<>(loaded.get()).equals(new HashSet<>(models));
        boolean own = phase == Phase.WORKING || phase == Phase.ASKING || phase == Phase.READING_BACK;
        if (changed && !own) {
            stillSinceMillis = nowMillis;
        }
        loaded = Optional.of(List.copyOf(models));
        if (phase == Phase.READING_BACK && isInEffect()) {
            failures = 0;
            rest(nowMillis);
        }
    }

    /** The weight store answered. */
    public void onWeights(WeightsAnswer answer, long nowMillis) {
        if (phase != Phase.FETCHING) {
            return;
        }
        if (answer instanceof WeightsAnswer.Ready) {
            giveOrderIfStillDue(nowMillis);
        } else if (answer instanceof WeightsAnswer.Later later) {
            rest(nowMillis + later.millis());
        } else if (answer instanceof WeightsAnswer.Missing) {
            plan.rollBack();
            rest(nowMillis + RETRY_MILLIS);
        } else {
            rest(nowMillis + RETRY_MILLIS);
        }
    }

    /** The engine answered an order or a question about it. */
    public void onOrder(OrderAnswer answer, long nowMillis) {
        if (phase != Phase.ORDERING && phase != Phase.ASKING) {
            return;
        }
        if (answer instanceof OrderAnswer.Accepted accepted) {
            order = accepted.order();
            giveUpMillis = nowMillis + UNKNOWN_ORDER_MILLIS;
            work(nowMillis);
        } else if (answer instanceof OrderAnswer.Running) {
            giveUpMillis = nowMillis + UNKNOWN_ORDER_MILLIS;
            work(nowMillis);
        } else if (answer instanceof OrderAnswer.Done) {
            readBack(nowMillis + READ_BACK_MILLIS);
        } else if (answer instanceof OrderAnswer.Failed) {
            failed(nowMillis);
        } else if (answer instanceof OrderAnswer.Fenced) {
            phase = Phase.FENCED;
        } else {
            unknown(nowMillis);
        }
    }

    /** Does what is due. */
    public void tick(long nowMillis) {
        if (phase == Phase.WORKING && nowMillis >= notBeforeMillis) {
            phase = Phase.ASKING;
            outputs.accept(new RolloutOutput.AskOrder(order));
        } else if (phase == Phase.READING_BACK && nowMillis >= giveUpMillis) {
            failed(nowMillis);
        } else if (phase == Phase.RESTING && mayOrder(nowMillis)) {
            begin();
        }
    }

    /** Where it stands. */
    public RolloutStatus status() {
        return new RolloutStatus(
                plan.version(),
                plan.target(),
                loaded.orElse(List.of()),
                phase.name(),
                plan.isRolledBack(),
                ordersGiven);
    }

    private boolean mayOrder(long nowMillis) {
        if (plan.isEmpty() || loaded.isEmpty() || nowMillis < notBeforeMillis) {
            return false;
        }
        if (nowMillis < stepAtMillis && plan.replacesSomething(loaded.get())) {
            return false;
        }
        return engineChecksFencing || nowMillis - stillSinceMillis >= FORMER_ORDER_MILLIS;
    }

    private void begin() {
        step = plan.next(loaded.orElse(List.of()));
        if (step.isEmpty()) {
            return;
        }
        RolloutPlan.Step next = step.get();
        if (!next.load()) {
            giveOrder();
            return;
        }
        phase = Phase.FETCHING;
        outputs.accept(new RolloutOutput.FetchWeights(next.model()));
    }

    /** A newer document may have come while the weight store was asked. */
    private void giveOrderIfStillDue(long nowMillis) {
        if (plan.next(loaded.orElse(List.of())).equals(step)) {
            giveOrder();
            return;
        }
        rest(nowMillis);
    }

    private void giveOrder() {
        RolloutPlan.Step next = step.orElseThrow();
        phase = Phase.ORDERING;
        ordersGiven++;
        outputs.accept(new RolloutOutput.GiveOrder(next.load(), next.model(), plan.version()));
    }

    private void work(long nowMillis) {
        phase = Phase.WORKING;
        notBeforeMillis = nowMillis + ASK_MILLIS;
    }

    private void readBack(long untilMillis) {
        phase = Phase.READING_BACK;
        giveUpMillis = untilMillis;
    }

    /** Guards against a lost answer: the order may be under way, so no other one is given until its effect shows. */
    private void unknown(long nowMillis) {
        boolean asked = phase == Phase.ASKING;
        if (asked && nowMillis < giveUpMillis) {
            work(nowMillis);
            return;
        }
        readBack(nowMillis + (asked ? READ_BACK_MILLIS : UNKNOWN_ORDER_MILLIS));
    }

    private void failed(long nowMillis) {
        failures++;
        boolean isLoad = step.map(RolloutPlan.Step::load).orElse(false);
        if (isLoad && failures >= LOAD_TRIES) {
            failures = 0;
            plan.rollBack();
        }
        rest(nowMillis + RETRY_MILLIS);
    }

    private void rest(long untilMillis) {
        phase = Phase.RESTING;
        notBeforeMillis = untilMillis;
    }

    private boolean isInEffect() {
        List<ModelVersion> present = loaded.orElse(List.of());
        return step.map(done -> present.contains(done.model()) == done.load()).orElse(true);
    }
}
