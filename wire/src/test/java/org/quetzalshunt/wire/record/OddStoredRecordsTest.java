package org.quetzalshunt.wire.record;

import static com.google.common.truth.Truth.assertThat;

import java.lang.management.ManagementFactory;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.quetzalshunt.core.quota.LeaseTerm;
import org.quetzalshunt.core.quota.QuotaShare;
import org.quetzalshunt.core.turn.TurnRecord;
import org.quetzalshunt.wire.message.MessageCodec;

/** Records of the shared map that another writer left. */
final class OddStoredRecordsTest {
    private static final long MAXIMUM_ALLOCATED_BYTES = 1 << 20;
    private static final int RANDOM_RECORDS = 20_000;
    private static final TurnRecord HOLDER =
            new TurnRecord("t", "a", List.of("t0"), new byte[] {1}, new byte[] {2}, 1, 0);

    private static byte[] bytes(int... values) {
        byte[] bytes = new byte[values.length];
        for (int index = 0; index < values.length; index++) {
            bytes[index] = (byte) values[index];
        }
        return bytes;
    }

    /** Field 2, a list of ten million elements of each type; fields with text and maps of the same size. */
    static Stream<byte[]> hugeSizes() {
        int[] types = {1, 3, 5, 6, 7, 8, 9, 10, 11, 12};
        Stream<byte[]> lists =
                Arrays.stream(types).mapToObj(type -> bytes(0x29, 0xf0 | type, 0x80, 0xad, 0xe2, 0x04, 0));
        return Stream.concat(
                lists,
                Stream.of(
                        bytes(0x18, 0x80, 0xad, 0xe2, 0x04, 1),
                        bytes(0x28, 0x80, 0xad, 0xe2, 0x04, 1),
                        bytes(0x2b, 0x80, 0xad, 0xe2, 0x04, 0x88, 0),
                        bytes(0x19, 0xf8, 0x80, 0xad, 0xe2, 0x04, 0)));
    }

    /** Guards against a process that runs out of memory by a record of a few bytes that states a huge size. */
    @ParameterizedTest
    @MethodSource("hugeSizes")
    void statedSizeIsNotAllocated(byte[] record) {
        decodeAll(record);
        long before = allocated();
        decodeAll(record);
        assertThat(allocated() - before).isLessThan(MAXIMUM_ALLOCATED_BYTES);
    }

    /** Guards against an exception, which would end whatever reads the record. */
    @Test
    void randomBytesAreDecodedOrRefused() {
        Random random = new Random(7);
        for (int record = 0; record < RANDOM_RECORDS; record++) {
            byte[] bytes = new byte[random.nextInt(40)];
            random.nextBytes(bytes);
            decodeAll(bytes);
        }
        decodeAll(new byte[100_000]);
        byte[] nested = new byte[100_000];
        Arrays.fill(nested, (byte) 0x1c);
        decodeAll(nested);
    }

    /** Guards against a budget that grows by a negative or overflowing allotment of another VM. */
    @ParameterizedTest
    @CsvSource({"0, true", "9007199254740992, true", "-1, false", "9223372036854775807, false"})
    void allotmentOutOfRangeIsRefused(long tokens, boolean valid) {
        byte[] record = StoredRecords.encode(new StoredRecords.Allotment(tokens, 1));
        assertThat(StoredRecords.allotment(record).isPresent()).isEqualTo(valid);
    }

    /** Guards against a quota that is exceeded, or never granted, since the parts of all shares do not add up. */
    @ParameterizedTest
    @CsvSource({"0, true", "1, true", "-1, false", "2147483647, false", "-2147483648, false"})
    void quotaShareOutOfRangeIsRefused(int parts, boolean valid) {
        byte[] record = StoredRecords.encode(new QuotaShare(new LeaseTerm(1, 1), 1, parts));
        assertThat(StoredRecords.quotaShare(record).isPresent()).isEqualTo(valid);
    }

    private static void decodeAll(byte[] record) {
        StoredRecords.turn("t", record);
        StoredRecords.chainCopy(HOLDER, record);
        StoredRecords.allotment(record);
        StoredRecords.heartbeat(record);
        StoredRecords.quotaShare(record);
        MessageCodec.decodeMessage(record);
    }

    private static long allocated() {
        return ((com.sun.management.ThreadMXBean) ManagementFactory.getThreadMXBean())
                .getThreadAllocatedBytes(Thread.currentThread().getId());
    }
}
