package org.quetzalshunt.wire.message;

import static com.google.common.truth.Truth8.assertThat;

import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalshunt.core.limit.AccountKey;
import org.quetzalshunt.core.limit.LimitMessage;
import org.quetzalshunt.core.vm.VmId;

final class LimitMessageCodecTest {
    private static final AccountKey KEY = new AccountKey("tutor", "school");

    static Stream<LimitMessage> messages() {
        return Stream.of(
                new LimitMessage.Request(7, KEY, VmId.of("entry-1", 99), 1_500_000, 250_000, 12_345, true),
                new LimitMessage.Transfer(7, 3, 2, KEY, 400_000, 2_000_000),
                new LimitMessage.TransferAcknowledgement(7, 3),
                new LimitMessage.CarryReport(8, List.of(new LimitMessage.Holding(KEY, 400_000))),
                new LimitMessage.CarryReport(8, List.of()),
                new LimitMessage.CarryAcknowledgement(8),
                new LimitMessage.LeaseRequest(8, 1_000),
                new LimitMessage.LeaseConfirmation(8, 1_000));
    }

    @ParameterizedTest
    @MethodSource("messages")
    void decodedMessageEqualsTheEncodedOne(LimitMessage message) {
        byte[] bytes = MessageCodec.encode(LimitMessageCodec.write(message));

        assertThat(MessageCodec.decodeMessage(bytes).flatMap(LimitMessageCodec::read))
                .hasValue(message);
    }
}
