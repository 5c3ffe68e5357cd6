package org.quetzalshunt.wire.record;

import static com.google.common.truth.Truth.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalshunt.core.configuration.Configuration;
import org.quetzalshunt.core.configuration.ConfigurationChange;
import org.quetzalshunt.core.configuration.ConfigurationChange.AuditEntry;
import org.quetzalshunt.core.configuration.ConfigurationChange.CheckpointChange;
import org.quetzalshunt.core.configuration.ConfigurationChange.DocumentChange;
import org.quetzalshunt.core.configuration.ConfigurationChange.LimitGenerationChange;
import org.quetzalshunt.core.limit.LimitGenerationRecord;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.wire.document.DocumentReader;
import org.quetzalshunt.wire.generated.ConfigurationRecord;
import org.quetzalshunt.wire.generated.DocumentPut;
import org.quetzalshunt.wire.message.MessageCodec;

final class ConfigurationRecordCodecTest {
    private static final String TEXT = "service: tutor\nteam: mawe\nkind: engine\n";

    private static DocumentChange put(String service, String text) {
        return new DocumentChange(
                service,
                3,
                "mawe",
                "asha",
                5,
                "change",
                DocumentReader.read(text).toOptional(),
                text);
    }

    static Stream<ConfigurationChange> changes() {
        return Stream.of(
                put("tutor", TEXT),
                new DocumentChange("tutor", 3, "mawe", "asha", 5, "change", Optional.empty(), ""),
                new AuditEntry("asha", 7, 6000, "tutor", "conflict"),
                new LimitGenerationChange(
                        new LimitGenerationRecord(
                                -1,
                                VmId.of("vm1", 9),
                                List.of(VmId.of("vm1", 9), VmId.of("vm2", 8)),
                                List.of(VmId.of("vm2", 7)),
                                true),
                        11));
    }

    @ParameterizedTest
    @MethodSource("changes")
    void decodedChangeEqualsTheEncodedOne(ConfigurationChange change) {
        assertThat(ConfigurationRecordCodec.decode(ConfigurationRecordCodec.encode(change)))
                .hasValue(change);
    }

    @Test
    void checkpointKeepsItsPartNumbers() {
        CheckpointChange change = new CheckpointChange(5, 1, 3, new byte[] {1, 2});
        CheckpointChange read =
                (CheckpointChange) ConfigurationRecordCodec.decode(ConfigurationRecordCodec.encode(change))
                        .orElseThrow();
        assertThat(List.of(read.coversBelow(), (long) read.part(), (long) read.parts()))
                .containsExactly(5L, 1L, 3L)
                .inOrder();
        assertThat(read.state()).isEqualTo(change.state());
    }

    /**
     * Guards against an exception for a truncated or corrupted record, after which no process could apply the records
     * behind it. Any writer can append such a record to the stream.
     */
    @Test
    void damagedRecordsDecodeWithoutException() {
        byte[] good = ConfigurationRecordCodec.encode(put("tutor", TEXT));
        for (int length = 0; length < good.length; length++) {
            assertThat(ConfigurationRecordCodec.decode(Arrays.copyOf(good, length)))
                    .isEmpty();
        }
        int decodedCount = 0;
        for (int index = 0; index < good.length; index++) {
            for (int value = 0; value < 256; value += 5) {
                byte[] damaged = good.clone();
                damaged[index] = (byte) value;
                decodedCount += ConfigurationRecordCodec.decode(damaged).isPresent() ? 1 : 0;
            }
        }
        assertThat(decodedCount).isAtLeast(1);
    }

    @Test
    void recordsOutOfBoundsAreRejected() {
        String name = "n".repeat(300);
        assertThat(ConfigurationRecordCodec.decode(ConfigurationRecordCodec.encode(put(name, TEXT))))
                .isEmpty();
        assertThat(ConfigurationRecordCodec.decode(
                        ConfigurationRecordCodec.encode(put("tutor", "#".repeat(1_000_000)))))
                .isEmpty();
        DocumentPut invalid = new DocumentPut("tutor", -1, "mawe", "asha", 5, "change", false, "service: [");
        assertThat(ConfigurationRecordCodec.decode(MessageCodec.encode(ConfigurationRecord.documentPut(invalid))))
                .isEmpty();
    }

    /**
     * Guards against a checkpoint that loses documents or needs many records, with 200 accounts in each of 7 services.
     */
    @Test
    void largeConfigurationIsRestoredFromItsCheckpoint() {
        Configuration whole = Configuration.create(ConfigurationRecordCodec::decode);
        for (int service = 0; service < 7; service++) {
            DocumentChange change = largeDocument("service" + service);
            assertThat(change.document()).isPresent();
            whole.apply(service, ConfigurationRecordCodec.encode(change), 0);
            whole.onAppliedBelow(service + 1L);
        }
        List<CheckpointChange> parts = whole.checkpointChanges(ConfigurationRecordCodec.MAXIMUM_STATE_PART_BYTES);
        Configuration late = Configuration.create(ConfigurationRecordCodec::decode);
        late.onGap(7);
        for (CheckpointChange part : parts) {
            late.apply(8, ConfigurationRecordCodec.encode(part), part.part());
        }
        assertThat(late.documents()).isEqualTo(whole.documents());
        assertThat(late.documents()).hasSize(7);
        assertThat(parts.size()).isAtMost(2);
    }

    private static DocumentChange largeDocument(String service) {
        StringBuilder text = new StringBuilder("service: " + service + "\nteam: mawe\nkind: plain\naccounts:\n");
        for (int account = 0; account < 200; account++) {
            String hash = String.format("%032x%032x", service.hashCode() * 7_919L, account * 104_729L + 1);
            text.append("  - {name: account")
                    .append(account)
                    .append(", keyHashes: [\"")
                    .append(hash);
            text.append("\"], requestsPerSecond: 10, burst: 20}\n");
        }
        return new DocumentChange(
                service,
                ConfigurationChange.NO_VERSION,
                "mawe",
                "asha",
                5,
                service,
                DocumentReader.read(text.toString()).toOptional(),
                text.toString());
    }
}
