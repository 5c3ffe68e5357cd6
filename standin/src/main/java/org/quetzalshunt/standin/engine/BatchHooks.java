package org.quetzalshunt.standin.engine;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;

/**
 * Callbacks by which {@link Batch} queries and notifies the engine.
 *
 * @param extraMillis current additional delay between two words of every stream
 * @param cachedTokens number of prompt tokens that need no prefill; called when a run gets a slot
 * @param finished called after the last word of a run
 * @param stepped called after each step
 */
record BatchHooks(
        LongSupplier extraMillis,
        ToIntFunction<EngineRun> cachedTokens,
        Consumer<EngineRun> finished,
        Runnable stepped) {}
