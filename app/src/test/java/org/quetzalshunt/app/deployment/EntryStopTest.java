package org.quetzalshunt.app.deployment;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetAddress;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.quetzalshunt.standin.control.Fault;
import org.quetzalshunt.standin.control.FaultKind;

/** Requests of callers whose entry stops. */
final class EntryStopTest {
    private static final long SLOW_MILLIS = 600;

    /**
     * Guards against a caller that is not told to reconnect, or that gets no answer, since its request was in progress
     * when its entry stopped.
     */
    @ParameterizedTest
    @CsvSource({"SLOW, 200", "HANG, 504"})
    void requestInProgressIsAnsweredAndEndsItsConnection(FaultKind fault, int status) throws Exception {
        DeploymentPlan plan = DeploymentPlan.demo().withVms(1, 1, 1).withStopMillis(2_500);
        try (Deployment deployment = Deployment.start(plan)) {
            deployment.setServiceFault("walls-0", Fault.lasting(fault, SLOW_MILLIS));
            int port = URI.create(deployment.entryUrl("entry-0")).getPort();
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                socket.getOutputStream().write(request(deployment).getBytes(StandardCharsets.US_ASCII));
                Thread.sleep(SLOW_MILLIS / 2);
                deployment.stopEntry("entry-0");

                String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
                assertThat(response).startsWith("HTTP/1.1 " + status);
                assertThat(response.toLowerCase(Locale.ROOT)).contains("connection: close");
            }
        }
    }

    private static String request(Deployment deployment) {
        return "POST /v1/services/" + Deployment.PLAIN_SERVICE + "/x HTTP/1.1\r\nhost: a\r\nauthorization: Bearer "
                + deployment.keys().callerKey("arusha") + "\r\nidempotency-key: call-1\r\ncontent-length: 0\r\n\r\n";
    }
}
