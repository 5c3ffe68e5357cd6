package org.quetzalshunt.server.gateway;

import io.netty.util.concurrent.EventExecutor;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.quetzalshunt.core.budget.ProgramAllotment;
import org.quetzalshunt.core.membership.Rendezvous;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.turn.TurnDirectory;
import org.quetzalshunt.core.turn.TurnRecord;
import org.quetzalshunt.wire.generated.BudgetExhausted;
import org.quetzalshunt.wire.generated.ChainAnswer;
import org.quetzalshunt.wire.generated.ChainRequest;
import org.quetzalshunt.wire.generated.ChainTurn;
import org.quetzalshunt.wire.generated.Message;
import org.quetzalshunt.wire.generated.TurnLocation;
import org.quetzalshunt.wire.record.StoredRecords;

/**
 * Fetches a turn's chain, and what is left of its program's allotment, from the gateway that ran the turn before. The one
 * that is the turn's directory knows which that is. Where nobody answers in time, both come from the store as ever; what a
 * peer says is never taken for the absence of a turn.
 *
 * <p>Load pattern: programs of many short turns, half of which arrive through another gateway than the turn before.
 */
final class ChainExchange {
    /** Ten round trips between data centres; a peer that takes longer is overloaded or gone. */
    private static final long ANSWER_MILLIS = 25;

    /** A chain beyond this would hold up the loads and tokens that share its link. */
    private static final int LARGEST_CHAIN_BYTES = 256 * 1024;

    private final EventExecutor executor;
    private final GatewaySettings settings;
    private final StoreClient map;
    private final TurnHistory history;
    private final BudgetManager budgets;
    private final PeerConnections links;
    private final TurnDirectory directory = TurnDirectory.create();
    private final Map<Long, Runnable> pending = new HashMap<>();
    private long nextId;

    ChainExchange(
            EventExecutor executor,
            GatewaySettings settings,
            StoreClient map,
            TurnHistory history,
            BudgetManager budgets,
            PeerConnections links) {
        this.executor = executor;
        this.settings = settings;
        this.map = map;
        this.history = history;
        this.budgets = budgets;
        this.links = links;
    }

    /**
     * Brings the turn that a request goes on from into this VM's memory, if a peer has it.
     *
     * @param then runs once it is there or will not come, maybe at once
     */
    void fetch(AdmittedRequest admitted, Runnable then) {
        String turn = admitted.request().previousTurn().orElseThrow();
        Optional<String> peer = wanted(turn) ? holderOrDirectory(turn) : Optional.empty();
        if (peer.isEmpty()) {
            then.run();
            return;
        }
        long id = nextId++;
        pending.put(id, then);
        ChainRequest request = new ChainRequest(
                id, turn, admitted.accountName(), admitted.budgetedProgram().orElse(""), settings.vm());
        links.send(peer.get(), Message.chainRequest(request));
        executor.schedule(() -> proceed(id), ANSWER_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean wanted(String turn) {
        // While the store fails, the turn could not be kept: reading its chain there tells so before it is sent.
        return settings.policy().has(Mechanism.PEER_HISTORY) && !history.holds(turn) && !map.failing();
    }

    /** The peer to ask for a turn. */
    private Optional<String> holderOrDirectory(String turn) {
        String place = directoryOf(turn);
        Optional<String> peer = place.equals(settings.vm()) ? directory.find(turn) : Optional.of(place);
        return peer.filter(vm -> !vm.equals(settings.vm()));
    }

    private String directoryOf(String turn) {
        List<String> vms = new ArrayList<>(links.connectedVms());
        vms.add(settings.vm());
        return Rendezvous.winner(turn, vms).orElseThrow();
    }

    /** This VM keeps a turn that ended. */
    void kept(String turn) {
        if (!settings.policy().has(Mechanism.PEER_HISTORY)) {
            return;
        }
        String place = directoryOf(turn);
        if (place.equals(settings.vm())) {
            directory.put(turn, settings.vm());
        } else {
            links.send(place, Message.turnLocation(new TurnLocation(turn)));
        }
    }

    /** A peer tells that it holds a turn. */
    void onLocation(String vm, TurnLocation location) {
        if (location.getTurn() != null) {
            directory.put(location.getTurn(), vm);
        }
    }

    /** A peer asks for a chain. */
    void onRequest(ChainRequest request) {
        boolean whole = request.getTurn() != null
                && request.getAccount() != null
                && request.getProgram() != null
                && request.getRequester() != null;
        if (!whole) {
            return;
        }
        Optional<List<TurnRecord>> chain = history.heldChain(request.getTurn(), request.getAccount())
                .filter(turns -> turns.stream().mapToInt(TurnRecord::weight).sum() <= LARGEST_CHAIN_BYTES);
        if (chain.isPresent()) {
            answer(request, chain.get());
            return;
        }
        Optional<String> holder = directory
                .find(request.getTurn())
                .filter(vm -> !vm.equals(settings.vm()) && !vm.equals(request.getRequester()))
                .filter(links::isConnected);
        if (holder.isPresent()) {
            links.send(holder.get(), Message.chainRequest(request));
        } else {
            answer(request, List.of());
        }
    }

    private void answer(ChainRequest request, List<TurnRecord> chain) {
        if (!links.isConnected(request.getRequester())) {
            return;
        }
        boolean gives = !chain.isEmpty()
                && request.getProgram().startsWith(AdmittedRequest.programPrefix(request.getAccount()));
        ProgramAllotment.Transfer transfer =
                gives ? budgets.giveOn(request.getProgram()) : ProgramAllotment.Transfer.NONE;
        List<ChainTurn> turns = chain.stream()
                .map(turn -> new ChainTurn(turn.id(), ByteBuffer.wrap(StoredRecords.encode(turn))))
                .toList();
        links.send(
                request.getRequester(),
                Message.chainAnswer(new ChainAnswer(
                        request.getId(), request.getProgram(), turns, transfer.tokens(), transfer.untilMillis())));
    }

    /** A peer answered; tokens count also when the answer came too late for its turn. */
    void onAnswer(ChainAnswer answer) {
        if (answer.getProgram() == null || answer.getTurns() == null) {
            return;
        }
        if (answer.getTokens() > 0) {
            budgets.received(
                    answer.getProgram(),
                    new ProgramAllotment.Transfer(answer.getTokens(), answer.getTokensExpireMillis()));
        }
        answer.getTurns().stream()
                .filter(turn -> turn.getId() != null && turn.getRecord() != null)
                .flatMap(turn -> StoredRecords.turn(turn.getId(), turn.getRecord()).stream())
                .forEach(history::hold);
        proceed(answer.getId());
    }

    /** This VM found a program's budget exhausted: every peer may see its next turn. */
    void exhausted(String program, long allottedTokens) {
        if (settings.policy().has(Mechanism.SHARED_EXHAUSTION)) {
            Message message = Message.budgetExhausted(new BudgetExhausted(program, allottedTokens));
            links.connectedVms().forEach(vm -> links.send(vm, message));
        }
    }

    /** A peer found a program's budget exhausted. */
    void onExhausted(BudgetExhausted exhausted) {
        if (exhausted.getProgram() != null) {
            budgets.exhaustedElsewhere(exhausted.getProgram(), exhausted.getAllottedTokens());
        }
    }

    private void proceed(long id) {
        Runnable then = pending.remove(id);
        if (then != null) {
            then.run();
        }
    }
}
