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
 * Fetches the chain of a turn (the turn itself and all turns before it), and the unspent tokens of its program, from
 * the gateway that ran the turn. For each turn, rendezvous hashing selects one VM as its directory, which records the
 * gateway that has it. If no peer answers in time, both are read from the store; a peer's answer is never taken as
 * proof that a turn does not exist.
 *
 * <p>Expected load: programs of many short turns; half of the turns arrive at another gateway than the turn before.
 */
final class ChainExchange {
    /** Ten round trips between data centres; a peer that takes longer is overloaded or unreachable. */
    private static final long ANSWER_TIMEOUT_MILLIS = 25;

    /** Larger chains would delay the load reports and token requests that share the link. */
    private static final int MAXIMUM_CHAIN_BYTES = 256 * 1024;

    private final EventExecutor executor;
    private final GatewaySettings settings;
    private final StoreClient store;
    private final TurnHistory history;
    private final BudgetManager budgets;
    private final PeerConnections links;
    private final TurnDirectory directory = TurnDirectory.create();
    private final Map<Long, Runnable> pending = new HashMap<>();
    private long nextId;

    ChainExchange(
            EventExecutor executor,
            GatewaySettings settings,
            StoreClient store,
            TurnHistory history,
            BudgetManager budgets,
            PeerConnections links) {
        this.executor = executor;
        this.settings = settings;
        this.store = store;
        this.history = history;
        this.budgets = budgets;
        this.links = links;
    }

    /**
     * Copies the turn that a request continues, and all turns before it, into this VM's cache, if a peer has them.
     *
     * @param onDone runs when the turn is cached or cannot be fetched; possibly during this call
     */
    void fetch(AdmittedRequest admitted, Runnable onDone) {
        String turn = admitted.request().previousTurn().orElseThrow();
        Optional<String> peer = shouldAskPeer(turn) ? peerToAsk(turn) : Optional.empty();
        if (peer.isEmpty()) {
            onDone.run();
            return;
        }
        long id = nextId++;
        pending.put(id, onDone);
        ChainRequest request = new ChainRequest(
                id, turn, admitted.accountName(), admitted.budgetedProgram().orElse(""), settings.vm());
        links.send(peer.get(), Message.chainRequest(request));
        executor.schedule(() -> complete(id), ANSWER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
    }

    private boolean shouldAskPeer(String turn) {
        // While the store fails, the new turn could not be stored. Reading the chain from the store detects that before
        // the turn is sent to an endpoint.
        return settings.policy().isEnabled(Mechanism.PEER_HISTORY) && !history.isCached(turn) && !store.isFailing();
    }

    /**
     * The peer to ask for a turn: its holder if this VM is the directory, otherwise the directory; empty if that is
     * this VM itself.
     */
    private Optional<String> peerToAsk(String turn) {
        String directoryVm = directoryOf(turn);
        Optional<String> peer = directoryVm.equals(settings.vm()) ? directory.find(turn) : Optional.of(directoryVm);
        return peer.filter(vm -> !vm.equals(settings.vm()));
    }

    private String directoryOf(String turn) {
        List<String> vms = new ArrayList<>(links.connectedVms());
        vms.add(settings.vm());
        return Rendezvous.winner(turn, vms).orElseThrow();
    }

    /** Publishes in the directory that this VM has a turn. */
    void onTurnStored(String turn) {
        if (!settings.policy().isEnabled(Mechanism.PEER_HISTORY)) {
            return;
        }
        String directoryVm = directoryOf(turn);
        if (directoryVm.equals(settings.vm())) {
            directory.put(turn, settings.vm());
        } else {
            links.send(directoryVm, Message.turnLocation(new TurnLocation(turn)));
        }
    }

    /** Records that a peer has a turn. */
    void onLocation(String vm, TurnLocation location) {
        if (location.getTurn() != null) {
            directory.put(location.getTurn(), vm);
        }
    }

    /** Answers a request for a chain, or forwards it to the peer that has the turn. */
    void onRequest(ChainRequest request) {
        boolean complete = request.getTurn() != null
                && request.getAccount() != null
                && request.getProgram() != null
                && request.getRequester() != null;
        if (!complete) {
            return;
        }
        Optional<List<TurnRecord>> chain = history.cachedChain(request.getTurn(), request.getAccount())
                .filter(turns -> turns.stream().mapToInt(TurnRecord::sizeBytes).sum() <= MAXIMUM_CHAIN_BYTES);
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
        boolean transfersTokens = !chain.isEmpty()
                && request.getProgram().startsWith(AdmittedRequest.programPrefix(request.getAccount()));
        ProgramAllotment.Transfer transfer =
                transfersTokens ? budgets.takeUnspent(request.getProgram()) : ProgramAllotment.Transfer.NONE;
        List<ChainTurn> turns = chain.stream()
                .map(turn -> new ChainTurn(turn.id(), ByteBuffer.wrap(StoredRecords.encode(turn))))
                .toList();
        links.send(
                request.getRequester(),
                Message.chainAnswer(new ChainAnswer(
                        request.getId(), request.getProgram(), turns, transfer.tokens(), transfer.expiresMillis())));
    }

    /**
     * Handles the answer of a peer. Transferred tokens are added even if the answer arrived after the timeout of the
     * request.
     */
    void onAnswer(ChainAnswer answer) {
        if (answer.getProgram() == null || answer.getTurns() == null) {
            return;
        }
        if (answer.getTokens() > 0) {
            budgets.addTransferred(
                    answer.getProgram(),
                    new ProgramAllotment.Transfer(answer.getTokens(), answer.getTokensExpireMillis()));
        }
        answer.getTurns().stream()
                .filter(turn -> turn.getId() != null && turn.getRecord() != null)
                .flatMap(turn -> StoredRecords.turn(turn.getId(), turn.getRecord()).stream())
                .forEach(history::addToCache);
        complete(answer.getId());
    }

    /** Notifies all peers that a program's budget is exhausted, since each of them may receive its next turn. */
    void broadcastExhausted(String program, long allottedTokens) {
        if (settings.policy().isEnabled(Mechanism.SHARED_EXHAUSTION)) {
            Message message = Message.budgetExhausted(new BudgetExhausted(program, allottedTokens));
            links.connectedVms().forEach(vm -> links.send(vm, message));
        }
    }

    /** Handles the report of a peer that the budget of a program is exhausted. */
    void onPeerExhausted(BudgetExhausted exhausted) {
        if (exhausted.getProgram() != null) {
            budgets.onPeerExhausted(exhausted.getProgram(), exhausted.getAllottedTokens());
        }
    }

    private void complete(long id) {
        Runnable onDone = pending.remove(id);
        if (onDone != null) {
            onDone.run();
        }
    }
}
