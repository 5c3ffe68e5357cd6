package org.quetzalshunt.server.gateway;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.quetzalshunt.core.admission.ProgramAdmissions;
import org.quetzalshunt.core.admission.ProgramRequest;
import org.quetzalshunt.core.admission.StartSearch;
import org.quetzalshunt.core.quota.PeerTable;
import org.quetzalshunt.core.quota.QuotaLeases;
import org.quetzalshunt.core.quota.QuotaTerms;
import org.quetzalshunt.core.quota.TokenOffer;
import org.quetzalshunt.core.quota.TokenSearch;
import org.quetzalshunt.core.quota.VmLease;
import org.quetzalshunt.core.route.AccountConfiguration;
import org.quetzalshunt.core.route.TrafficConfiguration;

/**
 * Takes tokens of accounts' rate quotas, from the shares of this VM or over links from other VMs that hold a share of
 * the account.
 */
final class QuotaManager implements TokenExchange.Owner {
    private final NodeClock clock;
    private final DecisionLog log;
    private final String self;
    private final Supplier<Optional<TrafficConfiguration>> configuration;
    private final PeerTable peers;
    private final VmLease lease;
    private final QuotaLeases leases;
    private final ProgramAdmissions programs;
    private final BooleanSupplier admitsPrograms;
    private PeerConnections links;
    private boolean stopping;

    /**
     * Creates a manager that holds no share.
     *
     * @param admitsPrograms whether a first turn is admitted only if the quota covers its whole program
     */
    QuotaManager(
            StoreClient store,
            NodeClock clock,
            DecisionLog log,
            GatewaySettings settings,
            Supplier<Optional<TrafficConfiguration>> configuration,
            PeerTable peers,
            VmLease lease,
            ProgramAdmissions programs,
            BooleanSupplier admitsPrograms) {
        this.clock = clock;
        this.log = log;
        this.self = settings.vm();
        this.configuration = configuration;
        this.peers = peers;
        this.lease = lease;
        this.programs = programs;
        this.admitsPrograms = admitsPrograms;
        this.leases = QuotaLeases.create(self, clock::now, peers, lease, new QuotaShareStore(store), this::logShare);
    }

    private void logShare(String account, int parts) {
        log.write(log.event("quota-share")
                .put("account", account)
                .put("parts", parts)
                .put("epoch", lease.term(clock.now()).epoch())
                .put("members", peers.members().size() + 1));
    }

    /** Sets the links over which tokens are requested from peers. */
    void start(PeerConnections peerConnections) {
        links = peerConnections;
    }

    /** Adapts the quota shares and the links to the members of the fleet, after these were read. */
    void onFleetRead() {
        if (stopping) {
            return;
        }
        leases.reconcile();
        links.setPeers(peers.members());
    }

    /** Applies the quotas of a new configuration. */
    void onConfigurationChange(TrafficConfiguration current) {
        Map<String, QuotaTerms> quotas = new HashMap<>();
        current.accounts().values().stream()
                .filter(AccountConfiguration::isRateLimited)
                .forEach(account ->
                        quotas.put(account.name(), new QuotaTerms(account.ratePerSecond(), account.burst())));
        leases.setAccounts(quotas);
        programs.retain(quotas.keySet());
        leases.reconcile();
    }

    /**
     * Takes a token of an account's quota, or the tokens of the program that the request starts.
     *
     * @param terms what the request may take, and how long it may wait
     */
    void takeToken(AccountConfiguration account, TokenTerms terms, Consumer<TokenSearch.Result> listener) {
        if (!account.isRateLimited()) {
            listener.accept(new TokenSearch.Result.Granted(0));
            return;
        }
        List<String> holders = leases.candidates(account.name());
        TokenSearch.TokenRequester requester = (holder, maximumWait, answer) ->
                requestToken(holder, account.name(), terms.request(), maximumWait, answer);
        if (terms.request().startsProgram()) {
            StartSearch.start(
                    holders,
                    terms.maximumPromiseMillis(),
                    requester,
                    listener,
                    () -> takeToken(account, terms.ofRunningProgram(), listener));
            return;
        }
        TokenSearch.start(holders, terms.maximumWaitMillis(), requester, listener);
    }

    private void requestToken(
            String holder,
            String account,
            ProgramRequest request,
            long maximumWaitMillis,
            Consumer<TokenOffer> answer) {
        if (holder.equals(self)) {
            answer.accept(reserveLocally(account, request, maximumWaitMillis));
            return;
        }
        links.requestToken(holder, account, request, maximumWaitMillis, answer);
    }

    /**
     * Takes a token from this VM's share for itself or for a peer. The token may become available only after a wait.
     */
    @Override
    public TokenOffer reserveLocally(String account, ProgramRequest request, long maximumWaitMillis) {
        if (stopping) {
            return TokenOffer.NONE;
        }
        if (!admitsPrograms.getAsBoolean()) {
            programs.clear();
            return leases.reserve(account, maximumWaitMillis);
        }
        return leases.share(account)
                .map(share -> programs.reserve(clock.now(), account, share, request, maximumWaitMillis))
                .orElse(TokenOffer.NONE);
    }

    @Override
    public void cancelStart(String account, String program) {
        programs.cancelStart(clock.now(), account, program);
    }

    /** The admission of programs by this VM, as an owner of shares. */
    ProgramAdmissions programs() {
        return programs;
    }

    /** Whether this VM's lease on its shares is in force. */
    boolean isLeased() {
        return lease.inForce(clock.now());
    }

    /** Whether this VM holds all shares that it should own. */
    boolean isSettled() {
        return leases.isSettled();
    }

    /** Whether some VM that may hold a share of the account's quota is reachable. */
    boolean reachesLeaseHolder(String account) {
        return leases.candidates(account).stream()
                .anyMatch(holder -> holder.equals(self) ? leases.parts(account) > 0 : links.isConnected(holder));
    }

    /** Whether, for every account with a quota, some VM that may hold a share of it is reachable. */
    boolean reachesAllLeaseHolders() {
        return configuration
                .get()
                .filter(current -> current.accounts().values().stream()
                        .filter(AccountConfiguration::isRateLimited)
                        .map(AccountConfiguration::name)
                        .allMatch(this::reachesLeaseHolder))
                .isPresent();
    }

    /** Number of live VMs, including this one. */
    int liveVms() {
        return peers.members().size() + 1;
    }

    /** Ends the lease, after a pause of the process of unknown length. */
    void endLease() {
        lease.expire();
    }

    /** Stops granting tokens from this VM's shares. */
    void stop() {
        stopping = true;
    }
}
