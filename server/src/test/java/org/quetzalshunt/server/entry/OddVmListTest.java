package org.quetzalshunt.server.entry;

import static com.google.common.truth.Truth.assertThat;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.quetzalshunt.core.vm.Vm;
import org.quetzalshunt.wire.json.Json;

final class OddVmListTest {
    private static final String SOUND = "{\"name\":\"e-1\",\"role\":\"entry\",\"host\":\"10.0.0.1\",\"port\":7000,"
            + "\"dataCentre\":\"a\",\"state\":\"running\"}";

    /**
     * Guards against an entry that opens no links to new VMs, or whose event loop waits for a name lookup, while the
     * list holds a VM with an address that is not one.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                "7",
                "[]",
                "null",
                "{\"name\":\"x\",\"role\":\"entry\",\"host\":\"10.0.0.2\",\"port\":99999}",
                "{\"name\":\"x\",\"role\":\"entry\",\"host\":\"10.0.0.2\",\"port\":0}",
                "{\"name\":\"x\",\"role\":\"entry\",\"host\":\"10.0.0.2\",\"port\":4294974296}",
                "{\"name\":\"x\",\"role\":\"entry\",\"host\":\"10.0.0.2\",\"port\":70.5}",
                "{\"name\":\"x\",\"role\":\"entry\",\"host\":\"10.0.0.2\",\"port\":\"7000\"}",
                "{\"name\":\"x\",\"role\":\"entry\",\"host\":\"999.0.0.2\",\"port\":7000}",
                "{\"name\":\"\",\"role\":\"entry\",\"host\":\"10.0.0.2\",\"port\":7000}"
            })
    void vmWithoutAnAddressIsLeftOut(String odd) {
        byte[] list = ("{\"vms\":[" + odd + "," + SOUND + "," + odd + "]}").getBytes(StandardCharsets.UTF_8);
        assertThat(VmListPoller.decode(Json.parse(list).orElseThrow()).stream().map(Vm::name))
                .containsExactly("e-1");
    }
}
