package org.quetzalshunt.core.attempt;

import static com.google.common.truth.Truth.assertThat;
import static org.quetzalshunt.core.attempt.RolloutSimulation.model;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class ModelRolloutTest {
    private static final long SETTLE_MILLIS = 60_000;
    private final RolloutSimulation simulation = new RolloutSimulation();

    // A new version of a model is rolled out while callers use the old one. The old version must serve until the new
    // one does, and a model that no document names must be left alone.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void oldVersionIsUnloadedOnlyAfterTheNewOneServes(boolean checksFencing) {
        ModelVersion foreign = new ModelVersion("base", "1");
        simulation.loaded.addAll(List.of(model(1), foreign));
        updateTarget(simulation.startProcess(), 2, checksFencing);
        simulation.advance(SETTLE_MILLIS);
        assertThat(simulation.orderHistory)
                .containsExactly("load tutor@2", "unload tutor@1")
                .inOrder();
        assertThat(simulation.loaded).containsExactly(foreign, model(2));
        assertThat(simulation.minimumLoaded).isEqualTo(2);
    }

    // The new version does not load, or the weight store does not have it. The old version must keep serving, and the
    // sidecar must not retry until the next version of the document.
    @ParameterizedTest
    @CsvSource({"true, 2", "false, 0"})
    void versionThatDoesNotLoadIsRolledBack(boolean isInWeightStore, int orders) {
        simulation.loaded.add(model(1));
        simulation.failsToLoad = model(2)::equals;
        if (!isInWeightStore) {
            simulation.weights.put(model(2), new WeightsAnswer.Missing());
        }
        ModelRollout rollout = simulation.startProcess();
        updateTarget(rollout, 2, true);
        simulation.advance(SETTLE_MILLIS);
        assertThat(simulation.loaded).containsExactly(model(1));
        assertThat(simulation.orderHistory).hasSize(orders);
        assertThat(rollout.status().rolledBack()).isTrue();
        updateTarget(rollout, 3, true);
        simulation.advance(SETTLE_MILLIS);
        assertThat(simulation.loaded).containsExactly(model(3));
    }

    // The second of two models of a new version does not load. The first one must be unloaded again, so that the engine
    // serves the previous version as a whole.
    @Test
    void partlyLoadedVersionIsRolledBack() {
        ModelVersion adapter = new ModelVersion("adapter", "2");
        simulation.loaded.add(model(1));
        simulation.failsToLoad = adapter::equals;
        simulation.startProcess().updateTarget(2, List.of(model(2), adapter), true, 0, simulation.now);
        simulation.advance(SETTLE_MILLIS);
        assertThat(simulation.loaded).containsExactly(model(1));
    }

    // All engines of a fleet request a new version at once, and the weight store defers most of them. It must be asked
    // again after the given delay and not earlier, and the deferral must not count as a failure of the version.
    @Test
    void rateLimitOfTheWeightStoreIsNotALoadFailure() {
        simulation.loaded.add(model(1));
        simulation.weights.put(model(2), new WeightsAnswer.RateLimited(20_000));
        ModelRollout rollout = simulation.startProcess();
        updateTarget(rollout, 2, true);
        simulation.advance(19_000);
        simulation.weights.clear();
        assertThat(simulation.orderHistory).isEmpty();
        simulation.advance(SETTLE_MILLIS);
        assertThat(simulation.loaded).containsExactly(model(2));
        assertThat(rollout.status().rolledBack()).isFalse();
    }

    // The engine accepts an order and its response is lost. A second order could run concurrently with the first, so
    // the rollout must continue only when the effect of the first one is visible.
    @Test
    void orderWithLostResponseIsNotRepeatedWhileItMayRun() {
        simulation.loaded.add(model(1));
        simulation.losesOrderResponses = true;
        updateTarget(simulation.startProcess(), 2, true);
        simulation.advance(SETTLE_MILLIS);
        assertThat(simulation.orderHistory)
                .containsExactly("load tutor@2", "unload tutor@1")
                .inOrder();
    }

    // A sidecar restarts while an order of its former process is in progress at an engine that ignores fencing. The new
    // process must wait until the loaded models no longer change, and must not repeat the order.
    @Test
    void orderOfAFormerProcessIsAwaited() {
        simulation.loaded.add(model(1));
        ModelRollout former = simulation.startProcess();
        updateTarget(former, 2, false);
        simulation.advance(ModelRollout.QUIET_PERIOD_MILLIS + 500);
        assertThat(simulation.orderHistory).containsExactly("load tutor@2");
        simulation.pause(former);
        updateTarget(simulation.startProcess(), 2, false);
        simulation.advance(SETTLE_MILLIS);
        assertThat(simulation.orderHistory)
                .containsExactly("load tutor@2", "unload tutor@1")
                .inOrder();
    }

    // A process of a sidecar is paused with an old document and resumes after a newer process has finished. An engine
    // that checks fencing refuses its orders. At one that does not, its orders take effect, and the newer process must
    // undo them as soon as the old process has read the new document.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void concurrentProcessesConvergeToTheNewestDocument(boolean checksFencing) {
        simulation.checksFencing = checksFencing;
        simulation.loaded.add(model(1));
        ModelRollout old = simulation.startProcess();
        updateTarget(old, 2, checksFencing);
        simulation.advance(SETTLE_MILLIS);
        simulation.pause(old);
        updateTarget(simulation.startProcess(), 3, checksFencing);
        simulation.advance(SETTLE_MILLIS);
        simulation.resume(old);
        simulation.advance(SETTLE_MILLIS);
        if (checksFencing) {
            assertThat(simulation.loaded).containsExactly(model(3));
        }
        updateTarget(old, 3, checksFencing);
        simulation.advance(SETTLE_MILLIS);
        assertThat(simulation.loaded).containsExactly(model(3));
        assertThat(simulation.minimumLoaded).isAtLeast(1);
    }

    // A rollout is staggered, so that a faulty version reaches few engines first. An engine that serves no model yet
    // must load without waiting for its step.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void stepDelayAppliesOnlyIfTheEngineServesAModel(boolean serves) {
        if (serves) {
            simulation.loaded.add(model(1));
        }
        simulation.startProcess().updateTarget(2, List.of(model(2)), true, 20_000, simulation.now);
        simulation.advance(10_000);
        assertThat(simulation.loaded.contains(model(2))).isEqualTo(!serves);
        simulation.advance(SETTLE_MILLIS);
        assertThat(simulation.loaded).containsExactly(model(2));
    }

    // Documents may arrive twice or late by way of another entry process. An older version must change nothing, and a
    // document that names no models must unload none.
    @Test
    void olderDocumentAndEmptyListAreIgnored() {
        simulation.loaded.add(model(3));
        ModelRollout rollout = simulation.startProcess();
        updateTarget(rollout, 3, true);
        updateTarget(rollout, 2, true);
        rollout.updateTarget(4, List.of(), true, 0, simulation.now);
        simulation.advance(SETTLE_MILLIS);
        assertThat(simulation.orderHistory).isEmpty();
    }

    private void updateTarget(ModelRollout rollout, int version, boolean checksFencing) {
        rollout.updateTarget(version, List.of(model(version)), checksFencing, 0, simulation.now);
    }
}
