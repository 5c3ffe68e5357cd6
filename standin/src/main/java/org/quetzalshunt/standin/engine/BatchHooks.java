package org.quetzalshunt.standin.engine;

import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.ToIntFunction;

/**
 * What the batch asks and tells.
 *
 * @param extraMillis what is added between the words of every stream now
 * @param cachedTokens asked when a run gets its slot: prompt tokens that need no reading
 * @param finished told after a run's last word
 * @param stepped told after each step
 */
record BatchHooks(
        LongSupplier extraMillis,
        ToIntFunction<EngineRun> cachedTokens,
        Consumer<EngineRun> finished,
        Runnable stepped) {}
