package org.quetzalshunt.core.share;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** Use and shares of one service. */
final class ServiceShares {
    /** Interval of the allocation; a few times shorter than a turn. */
    private static final long ALLOCATION_INTERVAL_MILLIS = 50;

    /** Interval at which rows of idle accounts are removed when the table is full. */
    private static final long SWEEP_INTERVAL_MILLIS = 1_000;

    /** Accounts that are tracked one by one; the use of further ones is added up without a name. */
    static final int MAXIMUM_ACCOUNTS = 2_048;

    /** Entries that are read of a peer's report: those that a sender includes, and its use without a name. */
    static final int MAXIMUM_ENTRIES = ReportSize.MAXIMUM_ACCOUNTS + 1;

    /** Requests in flight for each slot at most: an engine queues three for each that it runs. */
    private static final int MAXIMUM_IN_FLIGHT_PER_SLOT = 4;

    /** Longest account name that is read of a peer's report. */
    private static final int MAXIMUM_NAME_LENGTH = 256;

    /** Name under which the use without an account, and that of the smallest accounts, is reported. */
    static final String UNNAMED = "";

    final String service;
    final Shortage shortage;
    int slots;
    private final ShareAllocation allocation;
    private final Map<String, AccountRow> rows = new HashMap<>();
    private final AccountRow unnamed;
    private final Map<String, PeerUse> peers = new HashMap<>();
    private long allocatedMillis = Long.MIN_VALUE / 2;
    private long sweptMillis = Long.MIN_VALUE / 2;

    ServiceShares(long nowMillis, String service, ShareAllocation allocation) {
        this.service = service;
        this.allocation = allocation;
        this.shortage = new Shortage(nowMillis);
        this.unnamed = new AccountRow(nowMillis, UNNAMED);
    }

    void addInFlight(long nowMillis, String account, int change) {
        rowOrUnnamed(nowMillis, account).addInFlight(nowMillis, change);
    }

    private AccountRow rowOrUnnamed(long nowMillis, String account) {
        AccountRow row = rows.get(account);
        if (row != null) {
            return row;
        }
        if (account.equals(UNNAMED) || isFull(nowMillis)) {
            return unnamed;
        }
        AccountRow added = new AccountRow(nowMillis, account);
        rows.put(account, added);
        return added;
    }

    private boolean isFull(long nowMillis) {
        if (rows.size() >= MAXIMUM_ACCOUNTS && nowMillis - sweptMillis >= SWEEP_INTERVAL_MILLIS) {
            sweptMillis = nowMillis;
            rows.values().removeIf(row -> row.isIdle(nowMillis));
        }
        return rows.size() >= MAXIMUM_ACCOUNTS;
    }

    /** Replaces the report of a peer, and returns the number of entries that were limited or dropped. */
    int onPeerReport(long nowMillis, String vm, Map<String, Double> slotsByAccount) {
        PeerUse report = new PeerUse(nowMillis);
        int bounded = Math.max(0, slotsByAccount.size() - MAXIMUM_ENTRIES);
        int entries = 0;
        double limit = MAXIMUM_IN_FLIGHT_PER_SLOT * (double) slots;
        for (Map.Entry<String, Double> entry : slotsByAccount.entrySet()) {
            if (entries++ >= MAXIMUM_ENTRIES) {
                break;
            }
            if (!isValid(entry.getKey(), entry.getValue())) {
                bounded++;
                continue;
            }
            double accepted = Math.min(entry.getValue(), limit);
            bounded += accepted < entry.getValue() ? 1 : 0;
            limit -= accepted;
            report.add(rowOrUnnamed(nowMillis, entry.getKey()), accepted);
        }
        PeerUse previous = peers.put(vm, report);
        if (previous != null) {
            previous.release();
        }
        return bounded;
    }

    private static boolean isValid(String account, Double reported) {
        return account != null
                && account.length() <= MAXIMUM_NAME_LENGTH
                && reported != null
                && Double.isFinite(reported)
                && reported >= 0;
    }

    boolean isAboveShare(long nowMillis, String account) {
        if (!shortage.restrictsAccounts(nowMillis)) {
            return false;
        }
        return find(nowMillis, account).filter(AccountRow::isAboveShare).isPresent();
    }

    /** The row of an account with its current share; empty if the account uses no slot. */
    Optional<AccountRow> find(long nowMillis, String account) {
        allocate(nowMillis);
        return Optional.ofNullable(rows.get(account));
    }

    /** The rows of all accounts with their current shares. */
    Collection<AccountRow> rows(long nowMillis) {
        allocate(nowMillis);
        return rows.values();
    }

    private void allocate(long nowMillis) {
        if (nowMillis - allocatedMillis < ALLOCATION_INTERVAL_MILLIS) {
            return;
        }
        allocatedMillis = nowMillis;
        removeExpiredReports(nowMillis);
        rows.values().removeIf(row -> row.isIdle(nowMillis));
        rows.values().forEach(row -> row.fleetSlots = row.ownSlots(nowMillis));
        unnamed.fleetSlots = unnamed.ownSlots(nowMillis);
        peers.values().forEach(report -> report.addToFleet(nowMillis));
        allocation.assign(rows.values(), unnamed, slots);
    }

    private void removeExpiredReports(long nowMillis) {
        peers.values().removeIf(report -> {
            boolean expired = report.hasExpired(nowMillis);
            if (expired) {
                report.release();
            }
            return expired;
        });
    }

    /** Rows of accounts with requests of this VM, largest use first. */
    List<AccountRow> largest(long nowMillis) {
        return rows.values().stream()
                .filter(row -> row.ownSlots(nowMillis) >= AccountRow.NEGLIGIBLE_SLOTS)
                .sorted(Comparator.comparingDouble((AccountRow row) -> row.ownSlots(nowMillis))
                        .reversed())
                .toList();
    }

    /** This VM's use without an account, or of accounts beyond the table's size. */
    double unnamedSlots(long nowMillis) {
        return unnamed.ownSlots(nowMillis);
    }

    /** Use over all VMs without an account name, as of the last allocation. */
    double unnamedFleetSlots() {
        return unnamed.fleetSlots;
    }
}
