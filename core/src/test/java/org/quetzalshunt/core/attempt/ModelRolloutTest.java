package org.quetzalshunt.core.attempt;

import static com.google.common.truth.Truth.assertThat;
import static org.quetzalshunt.core.attempt.RolloutBench.model;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

final class ModelRolloutTest {
    private static final long LONG_ENOUGH_MILLIS = 60_000;
    private final RolloutBench bench = new RolloutBench();

    // A team puts a new version of its tutor. Pupils ask all the while, so the old version serves until the new one
    // does; a model that no document names is left alone.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void newVersionServesBeforeTheOldOneGoes(boolean checksFencing) {
        ModelVersion foreign = new ModelVersion("base", "1");
        bench.loaded.addAll(List.of(model(1), foreign));
        desire(bench.startProcess(), 2, checksFencing);
        bench.pass(LONG_ENOUGH_MILLIS);
        assertThat(bench.history)
                .containsExactly("load tutor@2", "unload tutor@1")
                .inOrder();
        assertThat(bench.loaded).containsExactly(foreign, model(2));
        assertThat(bench.fewestServing).isEqualTo(2);
    }

    // The new version does not load, or the weight store lacks it. The tutor keeps answering with the old one, and
    // the sidecar stops trying until the team puts another version.
    @ParameterizedTest
    @CsvSource({"true, 2", "false, 0"})
    void versionThatDoesNotLoadLeavesTheFormerOne(boolean inTheStore, int orders) {
        bench.loaded.add(model(1));
        bench.failsToLoad = model(2)::equals;
        if (!inTheStore) {
            bench.weights.put(model(2), new WeightsAnswer.Missing());
        }
        ModelRollout rollout = bench.startProcess();
        desire(rollout, 2, true);
        bench.pass(LONG_ENOUGH_MILLIS);
        assertThat(bench.loaded).containsExactly(model(1));
        assertThat(bench.history).hasSize(orders);
        assertThat(rollout.status().rolledBack()).isTrue();
        desire(rollout, 3, true);
        bench.pass(LONG_ENOUGH_MILLIS);
        assertThat(bench.loaded).containsExactly(model(3));
    }

    // Of two models of a new version the second does not load. The first is taken back out, so that the engine serves
    // the former version as a whole.
    @Test
    void halfLoadedVersionIsTakenBack() {
        ModelVersion adapter = new ModelVersion("adapter", "2");
        bench.loaded.add(model(1));
        bench.failsToLoad = adapter::equals;
        bench.startProcess().desire(2, List.of(model(2), adapter), true, 0, bench.now);
        bench.pass(LONG_ENOUGH_MILLIS);
        assertThat(bench.loaded).containsExactly(model(1));
    }

    // All engines of a fleet want a new version at once, and the weight store turns most of them away. It is asked
    // again when it said, and not before; nothing counts as a failure of the version.
    @Test
    void weightStoreOverItsRateIsAskedLater() {
        bench.loaded.add(model(1));
        bench.weights.put(model(2), new WeightsAnswer.Later(20_000));
        ModelRollout rollout = bench.startProcess();
        desire(rollout, 2, true);
        bench.pass(19_000);
        bench.weights.clear();
        assertThat(bench.history).isEmpty();
        bench.pass(LONG_ENOUGH_MILLIS);
        assertThat(bench.loaded).containsExactly(model(2));
        assertThat(rollout.status().rolledBack()).isFalse();
    }

    // The engine takes an order up and its answer is lost. A second order at once could run beside the first; the
    // effect shows, and the rollout goes on from there.
    @Test
    void orderWhoseAnswerWasLostIsNotRepeatedWhileItMayRun() {
        bench.loaded.add(model(1));
        bench.losesAnswers = true;
        desire(bench.startProcess(), 2, true);
        bench.pass(LONG_ENOUGH_MILLIS);
        assertThat(bench.history)
                .containsExactly("load tutor@2", "unload tutor@1")
                .inOrder();
    }

    // A sidecar restarts while the order of its former process is under way at an engine that ignores fencing. The
    // new process does not add its own: it waits until the models stand still, and finds nothing left to do.
    @Test
    void formerProcessesOrderIsWaitedOut() {
        bench.loaded.add(model(1));
        ModelRollout former = bench.startProcess();
        desire(former, 2, false);
        bench.pass(ModelRollout.FORMER_ORDER_MILLIS + 500);
        assertThat(bench.history).containsExactly("load tutor@2");
        bench.pause(former);
        desire(bench.startProcess(), 2, false);
        bench.pass(LONG_ENOUGH_MILLIS);
        assertThat(bench.history)
                .containsExactly("load tutor@2", "unload tutor@1")
                .inOrder();
    }

    // Two processes of one sidecar give orders: the old one was paused with an old document and wakes up after the
    // new one is done. An engine that checks fencing refuses it. At one that does not, its orders take effect, and
    // the new process puts things right again as soon as the old one has read the new document.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void racingProcessesEndAtTheNewestDocument(boolean checksFencing) {
        bench.checksFencing = checksFencing;
        bench.loaded.add(model(1));
        ModelRollout old = bench.startProcess();
        desire(old, 2, checksFencing);
        bench.pass(LONG_ENOUGH_MILLIS);
        bench.pause(old);
        desire(bench.startProcess(), 3, checksFencing);
        bench.pass(LONG_ENOUGH_MILLIS);
        bench.wake(old);
        bench.pass(LONG_ENOUGH_MILLIS);
        if (checksFencing) {
            assertThat(bench.loaded).containsExactly(model(3));
        }
        desire(old, 3, checksFencing);
        bench.pass(LONG_ENOUGH_MILLIS);
        assertThat(bench.loaded).containsExactly(model(3));
        assertThat(bench.fewestServing).isAtLeast(1);
    }

    // An operator's document is rolled out in steps, so that a bad version meets few engines first; an engine that
    // serves nothing yet has nothing to lose and does not wait for its step.
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void stepIsWaitedForOnlyWhereSomethingServes(boolean serves) {
        if (serves) {
            bench.loaded.add(model(1));
        }
        bench.startProcess().desire(2, List.of(model(2)), true, 20_000, bench.now);
        bench.pass(10_000);
        assertThat(bench.loaded.contains(model(2))).isEqualTo(!serves);
        bench.pass(LONG_ENOUGH_MILLIS);
        assertThat(bench.loaded).containsExactly(model(2));
    }

    // Configuration arrives twice or late, by way of another entry. An older version changes nothing, and a document
    // that names no models takes none away.
    @Test
    void olderDocumentAndEmptyListChangeNothing() {
        bench.loaded.add(model(3));
        ModelRollout rollout = bench.startProcess();
        desire(rollout, 3, true);
        desire(rollout, 2, true);
        rollout.desire(4, List.of(), true, 0, bench.now);
        bench.pass(LONG_ENOUGH_MILLIS);
        assertThat(bench.history).isEmpty();
    }

    private void desire(ModelRollout rollout, int version, boolean checksFencing) {
        rollout.desire(version, List.of(model(version)), checksFencing, 0, bench.now);
    }
}
