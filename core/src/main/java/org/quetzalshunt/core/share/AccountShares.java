package org.quetzalshunt.core.share;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.stream.Stream;

/**
 * Which accounts use more than their share of a service that is short of slots.
 *
 * <p>Load pattern: a few accounts send several times their usual load, all of it within their quotas or with quotas
 * that allow it, and the requests of the others find no free slot. While a shortage lasts, each account has a share of
 * the slots in proportion to the rate of its quota; what it leaves unused goes to the others. Use counts over all VMs:
 * the own requests in flight, and the peers' reports, which fade within two seconds. Without peers the own use alone
 * decides. Nothing is decided here for requests of programs in progress.
 */
public final class AccountShares {
    /** Services whose use is reported to peers at the same time, those with the most use first. */
    private static final int MAXIMUM_REPORTED_SERVICES = 8;

    /** Accounts of one service that are listed for operators. */
    private static final int MAXIMUM_LISTED_ACCOUNTS = 32;

    private final ShareAllocation allocation;
    private final Map<String, ServiceShares> services = new HashMap<>();
    private long boundedEntries;

    private AccountShares(ShareAllocation allocation) {
        this.allocation = allocation;
    }

    /**
     * Creates a table without services.
     *
     * @param quotaRate rate of an account's quota, which is its weight; not positive for an account without one, which
     *     counts as the mean of the others
     * @param seed seed of the random variation of limits, which should differ between VMs
     */
    public static AccountShares create(ToDoubleFunction<String> quotaRate, long seed) {
        return new AccountShares(new ShareAllocation(quotaRate, seed));
    }

    /** Sets the number of slots of a service and whether it is short of them from now on. */
    public void setService(long nowMillis, String service, int slots, boolean isShort) {
        ServiceShares state = state(nowMillis, service);
        state.slots = Math.max(0, slots);
        state.shortage.set(nowMillis, isShort);
    }

    private ServiceShares state(long nowMillis, String service) {
        return services.computeIfAbsent(service, name -> new ServiceShares(nowMillis, name, allocation));
    }

    /** Discards the services that are no longer configured. */
    public void retainServices(Set<String> configured) {
        services.keySet().retainAll(configured);
    }

    /** Records that a request of this VM was sent to an endpoint; the account is empty for a request without one. */
    public void started(long nowMillis, String service, String account) {
        state(nowMillis, service).addInFlight(nowMillis, account, 1);
    }

    /** Records that a request of this VM has ended at its endpoint. */
    public void finished(long nowMillis, String service, String account) {
        ServiceShares state = services.get(service);
        if (state != null) {
            state.addInFlight(nowMillis, account, -1);
        }
    }

    /** Whether a shortage of slots of the service has lasted. */
    public boolean isShort(long nowMillis, String service) {
        ServiceShares state = services.get(service);
        return state != null && state.shortage.isLasting(nowMillis);
    }

    /** Whether an account uses more than its share of a service that has been short of slots for some time. */
    public boolean isAboveShare(long nowMillis, String service, String account) {
        ServiceShares state = services.get(service);
        return state != null && state.isAboveShare(nowMillis, account);
    }

    /**
     * The delay after which an account above its share is expected to be below it, in milliseconds: at most a third of
     * the caller's remaining time.
     *
     * @param random random number, uniformly distributed from 0 to 1, that spreads the returns
     */
    public long retryAfterMillis(long nowMillis, String service, String account, long remainingMillis, double random) {
        AccountStatus status = account(nowMillis, service, account);
        return ReturnTime.retryAfterMillis(status.slots(), status.share(), remainingMillis, random);
    }

    /** Use and share of an account. */
    public AccountStatus account(long nowMillis, String service, String account) {
        ServiceShares state = services.get(service);
        if (state == null) {
            return AccountStatus.unused(account);
        }
        return state.find(nowMillis, account).map(AccountShares::toStatus).orElse(AccountStatus.unused(account));
    }

    private static AccountStatus toStatus(AccountRow row) {
        return new AccountStatus(row.account, row.fleetSlots, row.share(), row.isAboveShare());
    }

    /**
     * This VM's use for its peers, by service and account, of the services that are short. Only the accounts with the
     * most use are listed; the use of all others is added up under an empty name. Empty while no service is short.
     *
     * @param maximumAccounts number of accounts over all services
     */
    public Map<String, Map<String, Double>> report(long nowMillis, int maximumAccounts) {
        Map<String, Map<String, Double>> use = new HashMap<>();
        List<ServiceShares> reported = services.values().stream()
                .filter(state -> state.shortage.isReported(nowMillis))
                .sorted(Comparator.comparingInt((ServiceShares state) -> state.slots)
                        .reversed())
                .limit(MAXIMUM_REPORTED_SERVICES)
                .toList();
        int left = maximumAccounts;
        for (int i = 0; i < reported.size(); i++) {
            int limit = left / (reported.size() - i);
            Map<String, Double> accounts = report(nowMillis, reported.get(i), limit);
            left -= Math.min(limit, accounts.size());
            use.put(reported.get(i).service, accounts);
        }
        return use;
    }

    private static Map<String, Double> report(long nowMillis, ServiceShares state, int limit) {
        Map<String, Double> accounts = new HashMap<>();
        double unnamed = state.unnamedSlots(nowMillis);
        for (AccountRow row : state.largest(nowMillis)) {
            if (accounts.size() < limit) {
                accounts.put(row.account, row.ownSlots(nowMillis));
            } else {
                unnamed += row.ownSlots(nowMillis);
            }
        }
        if (unnamed >= AccountRow.NEGLIGIBLE_SLOTS) {
            accounts.put(ServiceShares.UNNAMED, unnamed);
        }
        return accounts;
    }

    /**
     * Replaces the use that a peer reported for the services in its report. Values that cannot be true are limited or
     * dropped, and counted.
     */
    public void onPeerReport(long nowMillis, String vm, Map<String, Map<String, Double>> use) {
        use.forEach((service, accounts) -> {
            ServiceShares state = services.get(service);
            if (state == null || accounts == null) {
                boundedEntries++;
                return;
            }
            boundedEntries += state.onPeerReport(nowMillis, vm, accounts);
        });
    }

    /** Entries of peers' reports that were limited or dropped since the start. */
    public long boundedEntries() {
        return boundedEntries;
    }

    /** Number of accounts above their share, over all services that are short. */
    public long aboveShare(long nowMillis) {
        return services.values().stream()
                .filter(state -> state.shortage.isLasting(nowMillis))
                .mapToLong(state -> state.rows(nowMillis).stream()
                        .filter(AccountRow::isAboveShare)
                        .count())
                .sum();
    }

    /** State of all services. */
    public List<ServiceStatus> status(long nowMillis) {
        return services.values().stream()
                .map(state -> status(nowMillis, state))
                .sorted(Comparator.comparing(ServiceStatus::service))
                .toList();
    }

    private static ServiceStatus status(long nowMillis, ServiceShares state) {
        boolean isShort = state.shortage.isLasting(nowMillis);
        Stream<AccountRow> rows = state.rows(nowMillis).stream();
        List<AccountStatus> accounts = rows.map(AccountShares::toStatus)
                .sorted(Comparator.comparingDouble(AccountStatus::slots).reversed())
                .toList();
        return new ServiceStatus(
                state.service,
                state.slots,
                isShort,
                state.unnamedFleetSlots(),
                accounts.stream().limit(MAXIMUM_LISTED_ACCOUNTS).toList(),
                isShort ? accounts.stream().filter(AccountStatus::isAboveShare).count() : 0);
    }
}
