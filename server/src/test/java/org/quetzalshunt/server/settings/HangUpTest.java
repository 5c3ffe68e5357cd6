package org.quetzalshunt.server.settings;

import static com.google.common.truth.Truth.assertThat;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class HangUpTest {
    /**
     * The platform changes a settings file and sends the signal. Callers saw their requests cut: the JVM takes a hang-up
     * for a request to stop. The process must live on and run the action, each time.
     */
    @Test
    void signalRunsTheActionAndTheProcessLives() throws Exception {
        CountDownLatch heard = new CountDownLatch(2);
        HangUp.handle(heard::countDown);
        Class<?> signal = Class.forName("sun.misc.Signal");
        Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
        for (int time = 0; time < 2; time++) {
            long before = heard.getCount();
            signal.getMethod("raise", signal).invoke(null, hangUp);
            for (int wait = 0; wait < 200 && heard.getCount() == before; wait++) {
                Thread.sleep(10);
            }
        }
        assertThat(heard.await(5, TimeUnit.SECONDS)).isTrue();
    }
}
