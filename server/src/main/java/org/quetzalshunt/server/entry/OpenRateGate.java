package org.quetzalshunt.server.entry;

import java.util.function.Consumer;
import org.quetzalshunt.core.result.Refusal;

/** Admits everything: for a fleet whose rates are limited elsewhere. */
final class OpenRateGate implements RateGate {
    @Override
    public void admit(String service, String clientAccount, Runnable admitted, Consumer<Refusal> refused) {
        admitted.run();
    }

    @Override
    public void giveBack(String service, String clientAccount) {}
}
