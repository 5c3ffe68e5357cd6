package org.quetzalshunt.server.entry;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.quetzalshunt.core.configuration.Configuration;
import org.quetzalshunt.core.configuration.ConfigurationChange.LimitGenerationChange;
import org.quetzalshunt.core.configuration.LimitGenerationState;
import org.quetzalshunt.core.configuration.VersionedDocument;
import org.quetzalshunt.core.document.ClientAccount;
import org.quetzalshunt.core.limit.AccountKey;
import org.quetzalshunt.core.limit.FleetLimits;
import org.quetzalshunt.core.limit.LimitGenerationProposal;
import org.quetzalshunt.core.limit.LimitMessage;
import org.quetzalshunt.core.limit.LimitPort;
import org.quetzalshunt.core.limit.LimitSettings;
import org.quetzalshunt.core.limit.Take;
import org.quetzalshunt.core.limit.TakeOutcome;
import org.quetzalshunt.core.membership.Membership;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.vm.VmId;
import org.quetzalshunt.server.transport.PeerLink;
import org.quetzalshunt.wire.message.LimitMessageCodec;

/**
 * Fleet-wide rate limits at this entry. Passes document changes, limit generations and messages of other entries to
 * {@link FleetLimits}, and admits or refuses callers' requests.
 */
final class FleetRateLimiter implements RateLimiter {
    private final EntryClock clock;
    private final ConfigurationStream configurationStream;
    private final Membership membership;
    private final JoinPeriod joinPeriod;
    private final Map<String, PeerLink> links;
    private final FleetLimits limits;
    private final Set<AccountKey> knownAccounts = new HashSet<>();
    private boolean membersChanged;
    private int waitingRequests;

    FleetRateLimiter(
            VmId self,
            EntryClock clock,
            ConfigurationStream configurationStream,
            Membership membership,
            JoinPeriod joinPeriod,
            Map<String, PeerLink> links) {
        this.clock = clock;
        this.configurationStream = configurationStream;
        this.membership = membership;
        this.joinPeriod = joinPeriod;
        this.links = links;
        this.limits = FleetLimits.create(self, LimitSettings.defaults(), LimitPort.of(this::send, this::propose));
        configurationStream.configuration().onChange(() -> configurationChanged(configurationStream.configuration()));
        membership.onChange(() -> membersChanged = true);
    }

    private void send(String vm, LimitMessage message) {
        PeerLink link = links.get(vm);
        if (link != null) {
            link.send(LimitMessageCodec.write(message));
        }
    }

    private void propose(LimitGenerationProposal proposal) {
        configurationStream.submit(
                new LimitGenerationChange(proposal.record(), clock.now()), (submission, configuration) -> {});
    }

    private void configurationChanged(Configuration configuration) {
        configuration.limitGeneration().ifPresent(this::applyGeneration);
        Set<AccountKey> present = new HashSet<>();
        for (VersionedDocument document : configuration.documents()) {
            document.document().ifPresent(value -> value.accounts().forEach(account -> {
                AccountKey key = new AccountKey(document.service(), account.name());
                present.add(key);
                applyAccount(key, account, document.version());
            }));
        }
        for (AccountKey removed : Set.copyOf(knownAccounts)) {
            if (!present.contains(removed)) {
                limits.removeAccount(
                        clock.now(),
                        removed.service(),
                        removed.account(),
                        configuration.currentVersion(removed.service()));
            }
        }
        knownAccounts.addAll(present);
    }

    private void applyAccount(AccountKey key, ClientAccount account, long version) {
        limits.setLimits(
                clock.now(), key.service(), key.account(), account.requestsPerSecond(), account.burst(), version);
    }

    private void applyGeneration(LimitGenerationState state) {
        if (state.offset() <= limits.generationOffset()) {
            return;
        }
        if (state.generation().basedOnGeneration() == limits.generationOffset()) {
            limits.onGeneration(clock.now(), state.offset(), state.generation());
            return;
        }
        limits.restoreGeneration(clock.now(), state.offset(), state.generation());
    }

    void onMessage(PeerLink link, LimitMessage message) {
        limits.onMessage(clock.now(), link.remote().id(), message);
    }

    void tick() {
        if (membersChanged && joinPeriod.isOver()) {
            membersChanged = false;
            limits.membersChanged(clock.now(), membership.entries());
        }
        configurationStream.session().lastReadMillis().ifPresent(sent -> limits.onLogRead(clock.now(), sent));
        limits.tick(clock.now());
    }

    void leave() {
        limits.startLeaving(clock.now());
    }

    /** Whether this entry may use tokens. Until then it would refuse requests that are within their rate. */
    boolean isServing() {
        return limits.isMember() && limits.holdsLease(clock.now());
    }

    /** Whether requests are waiting for tokens from other entries. */
    boolean hasWaitingRequests() {
        return waitingRequests > 0;
    }

    FleetLimits limits() {
        return limits;
    }

    @Override
    public void admit(String service, String clientAccount, Runnable onAdmitted, Consumer<Refusal> onRefused) {
        Take take = limits.take(clock.now(), service, clientAccount, outcome -> {
            waitingRequests--;
            if (outcome instanceof TakeOutcome.Refused timedOut) {
                onRefused.accept(refusal(service, timedOut.retryAfterMillis()));
            } else {
                onAdmitted.run();
            }
        });
        if (take instanceof Take.Waiting) {
            waitingRequests++;
        } else if (take instanceof Take.Taken) {
            onAdmitted.run();
        } else if (take instanceof Take.Refused refusedNow) {
            onRefused.accept(refusal(service, refusedNow.retryAfterMillis()));
        }
    }

    private static Refusal refusal(String service, long retryAfterMillis) {
        return Refusal.notRunRetryAfter(
                ResultCode.RATE_EXCEEDED, "rate limit of the account for service " + service, retryAfterMillis);
    }
}
