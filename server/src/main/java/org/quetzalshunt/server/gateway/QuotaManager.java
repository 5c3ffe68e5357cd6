package org.quetzalshunt.server.gateway;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.quetzalshunt.core.quota.PeerTable;
import org.quetzalshunt.core.quota.QuotaLeases;
import org.quetzalshunt.core.quota.QuotaTerms;
import org.quetzalshunt.core.quota.TokenOffer;
import org.quetzalshunt.core.quota.TokenSearch;
import org.quetzalshunt.core.quota.VmLease;
import org.quetzalshunt.core.route.AccountTerms;
import org.quetzalshunt.core.route.TrafficConfiguration;

/**
 * Takes tokens of accounts' quotas: from this VM's own shares, or over a link from the VMs that own the account.
 */
final class QuotaManager {
    private final NodeClock clock;
    private final DecisionLog log;
    private final String self;
    private final Supplier<Optional<TrafficConfiguration>> configuration;
    private final PeerTable peers;
    private final VmLease lease;
    private final QuotaLeases leases;
    private PeerConnections links;
    private boolean stopping;

    QuotaManager(
            StoreClient map,
            NodeClock clock,
            DecisionLog log,
            GatewaySettings settings,
            Supplier<Optional<TrafficConfiguration>> configuration,
            PeerTable peers,
            VmLease lease) {
        this.clock = clock;
        this.log = log;
        this.self = settings.vm();
        this.configuration = configuration;
        this.peers = peers;
        this.lease = lease;
        this.leases = QuotaLeases.create(self, clock::now, peers, lease, new QuotaShareStore(map), this::logShare);
    }

    private void logShare(String account, int parts) {
        log.line(log.event("quota-share")
                .put("account", account)
                .put("parts", parts)
                .put("epoch", lease.term(clock.now()).epoch())
                .put("members", peers.members().size() + 1));
    }

    /** Begins to ask peers. */
    void start(PeerConnections peerConnections) {
        links = peerConnections;
    }

    /** The members of the fleet were read anew: shares and links follow. */
    void onFleetRead() {
        if (stopping) {
            return;
        }
        leases.settle();
        links.setPeers(peers.members());
    }

    /** Quotas changed. */
    void configurationChanged(TrafficConfiguration current) {
        Map<String, QuotaTerms> quotas = new HashMap<>();
        current.accounts().values().stream()
                .filter(AccountTerms::limited)
                .forEach(account ->
                        quotas.put(account.name(), new QuotaTerms(account.ratePerSecond(), account.burst())));
        leases.setAccounts(quotas);
        leases.settle();
    }

    /**
     * Takes a token of an account's quota.
     *
     * @param maximumWaitMillis longest time for which the request may wait for a token that is still to be earned
     */
    void take(AccountTerms account, long maximumWaitMillis, Consumer<TokenSearch.Result> listener) {
        if (!account.limited()) {
            listener.accept(new TokenSearch.Result.Granted(0));
            return;
        }
        TokenSearch.start(
                leases.candidates(account.name()),
                maximumWaitMillis,
                (holder, most, answer) -> ask(holder, account.name(), most, answer),
                listener);
    }

    private void ask(String holder, String account, long maximumWaitMillis, Consumer<TokenOffer> answer) {
        if (holder.equals(self)) {
            answer.accept(reserveHere(account, maximumWaitMillis));
            return;
        }
        links.requestToken(holder, account, maximumWaitMillis, answer);
    }

    /** Takes a token from this VM's share, for itself or for a peer, that may still have to be earned. */
    TokenOffer reserveHere(String account, long maximumWaitMillis) {
        return stopping ? TokenOffer.NONE : leases.reserve(account, maximumWaitMillis);
    }

    /** Whether this VM's lease on its shares is in force. */
    boolean leased() {
        return lease.inForce(clock.now());
    }

    /** Whether this VM holds all shares that it should own. */
    boolean settled() {
        return leases.settled();
    }

    /** Whether some VM that may hold a share of the account can be asked. */
    boolean reachesLeaseHolder(String account) {
        return leases.candidates(account).stream()
                .anyMatch(holder -> holder.equals(self) ? leases.parts(account) > 0 : links.isConnected(holder));
    }

    /** Whether that is so for every account. */
    boolean reachesAllLeaseHolders() {
        return configuration
                .get()
                .filter(current -> current.accounts().values().stream()
                        .filter(AccountTerms::limited)
                        .map(AccountTerms::name)
                        .allMatch(this::reachesLeaseHolder))
                .isPresent();
    }

    /** VMs that serve, this one included. */
    int liveVms() {
        return peers.members().size() + 1;
    }

    /** The lease no longer counts, after a pause of unknown length. */
    void lapse() {
        lease.lapse();
    }

    /** Gives out no more tokens. */
    void stop() {
        stopping = true;
    }
}
