package org.quetzalshunt.app.bench.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import org.quetzalshunt.core.document.ServiceLimits;
import org.quetzalshunt.core.program.CallRequest;
import org.quetzalshunt.core.program.MessageMode;
import org.quetzalshunt.core.program.Shard;
import org.quetzalshunt.core.program.ShardListener;
import org.quetzalshunt.core.program.ShardRecord;
import org.quetzalshunt.core.program.ShardSettings;
import org.quetzalshunt.core.program.StoredAnswer;
import org.quetzalshunt.core.program.TokenUsage;
import org.quetzalshunt.core.program.TurnRequest;
import org.quetzalshunt.core.program.TurnResult;
import org.quetzalshunt.core.program.TurnStart;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.wire.record.ShardRecords;

/** Measures the cost of programs in a production shard whose log stores each record immediately. */
final class ProgramCosts implements ShardListener {
    private static final int NANOS_PER_MILLI = 1_000_000;
    private static final VmId SELF = VmId.of("entry-0", 1);
    private static final long NOW_MILLIS = 1_000_000_000_000L;

    private final Shard shard;
    private final List<TurnStart> startedTurns = new ArrayList<>();
    private long offset;
    private long recordBytes;

    private ProgramCosts() {
        this.shard = Shard.create(0, SELF, ShardSettings.defaults(), ShardRecords.create(), this::append, this);
        shard.claim(won -> {});
    }

    private void append(byte[] record, Consumer<Boolean> whenFolded) {
        recordBytes += record.length;
        shard.apply(offset++, record, 0);
        whenFolded.accept(true);
    }

    /** Heap of idle programs, by number of programs, each with the given turns and octets per turn. */
    static ScalingSeries heapByPrograms(List<Integer> sizes, int turns, int turnBytes) {
        List<ScalingSeries.Point> points = new ArrayList<>();
        for (int size : sizes) {
            long before = HeapUsage.usedBytes();
            ProgramCosts costs = new ProgramCosts();
            costs.createPrograms(size, turns, turnBytes);
            points.add(new ScalingSeries.Point(size, HeapUsage.usedBytes() - before));
            costs.shard.tick(0);
        }
        String name = "heap of idle programs of " + turns + " turns and " + turns * turnBytes + " octets";
        return new ScalingSeries(name, "programs", "octets", points);
    }

    /** Heap of a fixed number of programs, by total octets of history. */
    static ScalingSeries heapByHistory(int programs, List<Integer> turnCounts, int turnBytes) {
        List<ScalingSeries.Point> points = new ArrayList<>();
        for (int turns : turnCounts) {
            long before = HeapUsage.usedBytes();
            ProgramCosts costs = new ProgramCosts();
            costs.createPrograms(programs, turns, turnBytes);
            points.add(new ScalingSeries.Point((double) programs * turns * turnBytes, HeapUsage.usedBytes() - before));
            costs.shard.tick(0);
        }
        return new ScalingSeries("heap of " + programs + " programs", "historyOctets", "octets", points);
    }

    /** Octets of the log records of one turn, by octets of its messages and answer. */
    static ScalingSeries recordByTurn(List<Integer> turnBytes) {
        List<ScalingSeries.Point> points = new ArrayList<>();
        for (int bytes : turnBytes) {
            ProgramCosts costs = new ProgramCosts();
            costs.createPrograms(1, 1, bytes);
            long before = costs.recordBytes;
            costs.runTurn("p-0", 2, bytes);
            points.add(new ScalingSeries.Point(bytes, costs.recordBytes - before));
        }
        return new ScalingSeries("octets appended for one turn", "turnOctets", "octets", points);
    }

    /** Time that the owner needs for turns, excluding the network, by number of turns. */
    static ScalingSeries timeByTurns(List<Integer> counts, int turnBytes) {
        List<ScalingSeries.Point> points = new ArrayList<>();
        new ProgramCosts().createPrograms(200, 20, turnBytes);
        for (int count : counts) {
            ProgramCosts costs = new ProgramCosts();
            costs.createPrograms(count / 20, 0, turnBytes);
            long startNanos = System.nanoTime();
            for (int turn = 1; turn <= 20; turn++) {
                for (int program = 0; program < count / 20; program++) {
                    costs.runTurn("p-" + program, turn, turnBytes);
                }
            }
            points.add(new ScalingSeries.Point(count, (System.nanoTime() - startNanos) / (double) NANOS_PER_MILLI));
        }
        return new ScalingSeries("time to start, record and fold turns", "turns", "milliseconds", points);
    }

    private void createPrograms(int programs, int turns, int turnBytes) {
        for (int number = 0; number < programs; number++) {
            String id = "p-" + number;
            shard.createProgram(
                    new ShardRecord.ProgramCreated(
                            shard.epoch(),
                            id,
                            "account",
                            Optional.empty(),
                            Long.MAX_VALUE / 4,
                            0,
                            NOW_MILLIS,
                            false,
                            id),
                    created -> {});
            for (int turn = 1; turn <= turns; turn++) {
                runTurn(id, turn, turnBytes);
            }
        }
    }

    private void runTurn(String program, int turn, int turnBytes) {
        byte[] message = text(program, turn, turnBytes / 2);
        TurnRequest request = new TurnRequest(
                program + "-" + turn,
                program,
                false,
                "account",
                OptionalInt.empty(),
                Optional.empty(),
                new byte[32],
                List.of(message),
                MessageMode.NEW,
                0,
                Long.MAX_VALUE,
                ServiceLimits.defaults(),
                "service");
        shard.offerTurn(NOW_MILLIS, request);
        TurnStart start = startedTurns.remove(startedTurns.size() - 1);
        TokenUsage usage = new TokenUsage(start.contextTokens() + turnBytes / 8, 0, turnBytes / 8);
        byte[] answer = text("answer " + program, turn, turnBytes - turnBytes / 2);
        shard.endTurn(
                NOW_MILLIS,
                start,
                new TurnResult(answer, new StoredAnswer(200, "application/json", answer), usage),
                stored -> {});
    }

    private static byte[] text(String prefix, int number, int length) {
        byte[] bytes = new byte[length];
        byte[] head = (prefix + number).getBytes(StandardCharsets.UTF_8);
        System.arraycopy(head, 0, bytes, 0, Math.min(head.length, length));
        return bytes;
    }

    @Override
    public void onTurnStart(TurnStart start) {
        startedTurns.add(start);
    }

    @Override
    public void onCallStart(CallRequest call) {}

    @Override
    public void onRefused(String requestId, Refusal refusal) {
        throw new IllegalStateException(requestId + " " + refusal);
    }

    @Override
    public void onOwnershipLost(int number) {}

    @Override
    public void onProgramEnded(String program) {}
}
