package org.quetzalshunt.server.settings;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class SighupHandlerTest {
    /**
     * The platform changes a settings file and sends SIGHUP. By default the JVM shuts down on it, which aborted the
     * requests of callers. The process must keep running and run the action on each signal.
     */
    @Test
    void signalRunsTheActionWithoutEndingTheProcess() throws Exception {
        CountDownLatch signals = new CountDownLatch(2);
        SighupHandler.handle(signals::countDown);
        Class<?> signal = Class.forName("sun.misc.Signal");
        Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
        for (int time = 0; time < 2; time++) {
            long before = signals.getCount();
            signal.getMethod("raise", signal).invoke(null, hangUp);
            for (int wait = 0; wait < 200 && signals.getCount() == before; wait++) {
                Thread.sleep(10);
            }
        }
        assertThat(signals.await(5, TimeUnit.SECONDS)).isTrue();
    }
}
