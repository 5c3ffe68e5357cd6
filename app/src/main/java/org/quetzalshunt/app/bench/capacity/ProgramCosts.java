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
import org.quetzalshunt.core.program.TurnRequest;
import org.quetzalshunt.core.program.TurnResult;
import org.quetzalshunt.core.program.TurnStart;
import org.quetzalshunt.core.program.TurnUsage;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.wire.record.ShardRecords;

/** Drives a real shard, with a log that keeps each record at once, and measures what its programs cost. */
final class ProgramCosts implements ShardListener {
    private static final int SUB_MILLIS = 1_000_000;
    private static final VmId SELF = VmId.of("entry-0", 1);
    private static final long NOW = 1_000_000_000_000L;

    private final Shard shard;
    private final List<TurnStart> started = new ArrayList<>();
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

    /** Heap of idle programs by number, each with a history of so many octets. */
    static Slope heapByPrograms(List<Integer> sizes, int turns, int turnBytes) {
        List<Slope.Point> points = new ArrayList<>();
        for (int size : sizes) {
            long before = Heap.used();
            ProgramCosts costs = new ProgramCosts();
            costs.fill(size, turns, turnBytes);
            points.add(new Slope.Point(size, Heap.used() - before));
            costs.shard.tick(0);
        }
        String name = "heap of idle programs of " + turns + " turns and " + turns * turnBytes + " octets";
        return new Slope(name, "programs", "octets", points);
    }

    /** Heap of a fixed number of programs by octets of history. */
    static Slope heapByHistory(int programs, List<Integer> turnCounts, int turnBytes) {
        List<Slope.Point> points = new ArrayList<>();
        for (int turns : turnCounts) {
            long before = Heap.used();
            ProgramCosts costs = new ProgramCosts();
            costs.fill(programs, turns, turnBytes);
            points.add(new Slope.Point((double) programs * turns * turnBytes, Heap.used() - before));
            costs.shard.tick(0);
        }
        return new Slope("heap of " + programs + " programs", "historyOctets", "octets", points);
    }

    /** Octets of the records of one turn by octets of its messages and answer. */
    static Slope recordByTurn(List<Integer> turnBytes) {
        List<Slope.Point> points = new ArrayList<>();
        for (int bytes : turnBytes) {
            ProgramCosts costs = new ProgramCosts();
            costs.fill(1, 1, bytes);
            long before = costs.recordBytes;
            costs.turn("p-0", 2, bytes);
            points.add(new Slope.Point(bytes, costs.recordBytes - before));
        }
        return new Slope("octets appended for one turn", "turnOctets", "octets", points);
    }

    /** Processor time of a turn at its owner, without network, by turns done before. */
    static Slope timeByTurns(List<Integer> counts, int turnBytes) {
        List<Slope.Point> points = new ArrayList<>();
        new ProgramCosts().fill(200, 20, turnBytes);
        for (int count : counts) {
            ProgramCosts costs = new ProgramCosts();
            costs.fill(count / 20, 0, turnBytes);
            long started = System.nanoTime();
            for (int turn = 1; turn <= 20; turn++) {
                for (int program = 0; program < count / 20; program++) {
                    costs.turn("p-" + program, turn, turnBytes);
                }
            }
            points.add(new Slope.Point(count, (System.nanoTime() - started) / (double) SUB_MILLIS));
        }
        return new Slope("time to start, record and fold turns", "turns", "milliseconds", points);
    }

    private void fill(int programs, int turns, int turnBytes) {
        for (int number = 0; number < programs; number++) {
            String id = "p-" + number;
            shard.createProgram(
                    new ShardRecord.ProgramCreated(
                            shard.epoch(), id, "account", Optional.empty(), Long.MAX_VALUE / 4, 0, NOW, false, id),
                    made -> {});
            for (int turn = 1; turn <= turns; turn++) {
                turn(id, turn, turnBytes);
            }
        }
    }

    private void turn(String program, int turn, int turnBytes) {
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
        shard.offerTurn(NOW, request);
        TurnStart start = started.remove(started.size() - 1);
        TurnUsage usage = new TurnUsage(start.contextTokens() + turnBytes / 8, 0, turnBytes / 8);
        byte[] answer = text("answer " + program, turn, turnBytes - turnBytes / 2);
        shard.endTurn(
                NOW,
                start,
                new TurnResult(answer, new StoredAnswer(200, "application/json", answer), usage),
                kept -> {});
    }

    private static byte[] text(String start, int number, int length) {
        byte[] bytes = new byte[length];
        byte[] head = (start + number).getBytes(StandardCharsets.UTF_8);
        System.arraycopy(head, 0, bytes, 0, Math.min(head.length, length));
        return bytes;
    }

    @Override
    public void onTurnStart(TurnStart start) {
        started.add(start);
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
