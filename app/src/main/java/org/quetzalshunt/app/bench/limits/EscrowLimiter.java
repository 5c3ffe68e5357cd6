package org.quetzalshunt.app.bench.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.quetzalshunt.core.limit.FleetLimits;
import org.quetzalshunt.core.limit.LimitGenerationRecord;
import org.quetzalshunt.core.limit.LimitMessage;
import org.quetzalshunt.core.limit.LimitPort;
import org.quetzalshunt.core.limit.LimitSettings;
import org.quetzalshunt.core.limit.Take;
import org.quetzalshunt.core.limit.TakeOutcome;
import org.quetzalshunt.core.membership.Member;
import org.quetzalshunt.core.vm.Vm;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.core.vm.VmRole;
import org.quetzalshunt.wire.message.LimitMessageCodec;
import org.quetzalshunt.wire.message.MessageCodec;

/** Runs the production {@link FleetLimits} over a simulated network and a simulated log. */
final class EscrowLimiter implements Limiter {
    private static final String SERVICE = "tutor-models";
    private static final long TICK_MILLIS = 10;
    private static final long LOG_READ_INTERVAL_MILLIS = 500;
    private static final long LOG_APPEND_MILLIS = 20;
    private static final long CRASH_DETECTED_AFTER_MILLIS = 600;
    private static final int FRAME_HEADER_BYTES = 4;

    private final VirtualTime time;
    private final SplittableRandom random;
    private final List<FleetLimits> entries = new ArrayList<>();
    private final List<LimitGenerationRecord> log = new ArrayList<>();
    private final boolean[] isCrashed;
    private final int[] readOffsets;
    private long messages;
    private long bytes;
    private long processorNanos;

    EscrowLimiter(VirtualTime time, Parameters parameters) {
        this.time = time;
        this.random = new SplittableRandom(parameters.seed());
        this.isCrashed = new boolean[parameters.entries()];
        this.readOffsets = new int[parameters.entries()];
        for (int entry = 0; entry < parameters.entries(); entry++) {
            entries.add(start(entry, parameters));
        }
        List<Member> members = members();
        entries.forEach(limits -> limits.membersChanged(0, members));
    }

    private FleetLimits start(int entry, Parameters parameters) {
        FleetLimits limits = FleetLimits.create(
                id(entry),
                LimitSettings.defaults(),
                LimitPort.of(
                        (to, message) -> send(entry, to, message),
                        proposal -> time.runAfter(LOG_APPEND_MILLIS, () -> log.add(proposal.record()))));
        for (int account = 0; account < parameters.accounts(); account++) {
            limits.setLimits(0, SERVICE, account(account), parameters.rate(), parameters.burst(), 1);
        }
        time.runEvery(
                TICK_MILLIS, 1 + random.nextLong(TICK_MILLIS), () -> runTimed(entry, () -> limits.tick(time.now())));
        time.runEvery(
                LOG_READ_INTERVAL_MILLIS,
                1 + random.nextLong(LOG_READ_INTERVAL_MILLIS / 5),
                () -> runTimed(entry, () -> readLog(entry)));
        return limits;
    }

    private static VmId id(int entry) {
        return VmId.of("entry-" + entry, 1);
    }

    private static String account(int account) {
        return "account-" + account;
    }

    private List<Member> members() {
        List<Member> members = new ArrayList<>();
        for (int entry = 0; entry < entries.size(); entry++) {
            Vm vm = new Vm("entry-" + entry, VmRole.ENTRY, "10.0.0.1", 1, "moshi-a", "", false);
            members.add(new Member(id(entry), vm, !isCrashed[entry], false, 0, 0, 0, List.of()));
        }
        return members;
    }

    private void readLog(int entry) {
        while (readOffsets[entry] < log.size()) {
            entries.get(entry).onGeneration(time.now(), readOffsets[entry], log.get(readOffsets[entry]));
            readOffsets[entry]++;
        }
        entries.get(entry).onLogRead(time.now(), time.now());
    }

    private void runTimed(int entry, Runnable action) {
        if (isCrashed[entry]) {
            return;
        }
        long started = System.nanoTime();
        action.run();
        processorNanos += System.nanoTime() - started;
    }

    private void send(int from, String to, LimitMessage message) {
        long started = System.nanoTime();
        messages++;
        bytes += FRAME_HEADER_BYTES + MessageCodec.encode(LimitMessageCodec.write(message)).length;
        int receiver = Integer.parseInt(to.substring("entry-".length()));
        time.runAfter(
                1L + random.nextInt(2),
                () -> runTimed(receiver, () -> entries.get(receiver).onMessage(time.now(), id(from), message)));
        processorNanos -= System.nanoTime() - started;
    }

    @Override
    public void request(int entry, int account, Consumer<Boolean> admitted) {
        runTimed(entry, () -> {
            Take take = entries.get(entry)
                    .take(
                            time.now(),
                            SERVICE,
                            account(account),
                            outcome -> admitted.accept(outcome instanceof TakeOutcome.Taken));
            if (!(take instanceof Take.Waiting)) {
                admitted.accept(take instanceof Take.Taken);
            }
        });
    }

    @Override
    public int crash() {
        int crashed = 0;
        for (int entry = 0; entry < entries.size(); entry++) {
            crashed = heldParts(entry) > heldParts(crashed) ? entry : crashed;
        }
        isCrashed[crashed] = true;
        time.runAfter(CRASH_DETECTED_AFTER_MILLIS, () -> {
            List<Member> members = members();
            entries.forEach(limits -> limits.membersChanged(time.now(), members));
        });
        return crashed;
    }

    private long heldParts(int entry) {
        return entries.get(entry).status(time.now()).get(0).parts();
    }

    @Override
    public Cost cost() {
        return new Cost(messages, bytes, processorNanos);
    }
}
