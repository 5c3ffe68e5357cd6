package org.quetzalshunt.server.entry;

import java.util.function.Consumer;
import org.quetzalshunt.core.result.Refusal;

/** Decides whether a request is within its account's rate and burst across the whole fleet. */
interface RateLimiter {
    /** Runs exactly one of the two callbacks, at once or after a short wait for tokens from other entries. */
    void admit(String service, String clientAccount, Runnable onAdmitted, Consumer<Refusal> onRefused);
}
