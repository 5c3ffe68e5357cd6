package org.quetzalshunt.server.http;

import static com.google.common.truth.Truth.assertThat;

import java.net.InetSocketAddress;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class IpPortTest {
    /**
     * Guards against a name lookup that holds the event loop: an octet that is too large makes a text one that is
     * looked up as a name.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "999.0.0.1:80", "10.0.0.256:80", "1.2.3:80", "1.2.3.4", "1.2.3.4:0", "1.2.3.4:65536", "1.2.3.4:99999",
                "localhost:80", "[::1]:80", "", "1.2.3.4:80 ", "-1.2.3.4:80", "1.2.3.4:+80", "1.2.3.4:\u0661"
            })
    void textThatIsNoAddressIsRefused(String text) {
        assertThat(IpPort.parse(text)).isEmpty();
    }

    @Test
    void addressIsParsedAndFormatted() {
        InetSocketAddress address = IpPort.parse("10.255.0.9:65535").orElseThrow();
        assertThat(address).isEqualTo(new InetSocketAddress("10.255.0.9", 65_535));
        assertThat(address.isUnresolved()).isFalse();
        assertThat(IpPort.format(address)).isEqualTo("10.255.0.9:65535");
    }
}
