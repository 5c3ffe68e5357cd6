package org.quetzalshunt.core.admission;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.quetzalshunt.core.quota.TokenBucket;
import org.quetzalshunt.core.quota.TokenOffer;

/**
 * The admission of programs at one owner, for all accounts of which it holds a share. All state is in memory, and lost
 * with the process or the share.
 */
public final class ProgramAdmissions {
    /** Receives changes of an account's state. */
    public interface Listener {
        /** Starts of an account's programs begin to be refused, or are no longer refused. */
        void onRefusing(String account, AdmissionStatus status);

        /** A program of a kind is started here for the first time; the number of kinds is bounded. */
        void onKind(String kind, Supplier<Number> tokensPerProgram);
    }

    private final Listener listener;
    private final Map<String, AccountAdmission> accounts = new HashMap<>();
    private final Set<String> kinds = new HashSet<>();
    private long admitted;
    private long refused;

    private ProgramAdmissions(Listener listener) {
        this.listener = listener;
    }

    /** Creates admissions that have learnt nothing. */
    public static ProgramAdmissions create(Listener listener) {
        return new ProgramAdmissions(listener);
    }

    /**
     * Takes a token for a request, or for a program together with its first request.
     *
     * @param share this VM's share of the account's quota. A share that was acquired anew, with another bucket, has
     *     learnt nothing, and its programs begin with the tokens of that bucket.
     * @param maximumWaitMillis longest time for which the request may wait for its token. The start of a program does
     *     not wait; if this is not 0, the tokens of its program are kept for a caller that returns within this time.
     */
    public TokenOffer reserve(
            long nowMillis, String account, TokenBucket share, ProgramRequest request, long maximumWaitMillis) {
        AccountAdmission admission = accounts.get(account);
        if (admission == null || !admission.isOf(share)) {
            admission = new AccountAdmission(nowMillis, share);
            accounts.put(account, admission);
        }
        boolean refusing = admission.refusing();
        TokenOffer offer = admission.reserve(nowMillis, request, maximumWaitMillis);
        if (offer.decidesStart() && offer.taken()) {
            admitted++;
            request.startedKind().ifPresent(this::addKind);
        } else if (offer.decidesStart() && !offer.equals(TokenOffer.RUNNING) && maximumWaitMillis == 0) {
            refused++;
        }
        if (admission.refusing() != refusing) {
            listener.onRefusing(account, admission.status(nowMillis));
        }
        return offer;
    }

    private void addKind(String kind) {
        if (kinds.size() < ProgramSizes.MAXIMUM_KINDS && kinds.add(kind)) {
            listener.onKind(kind, () -> tokensPerProgram(kind));
        }
    }

    /** Returns what a program took whose gateway gave up waiting for the answer, and which it does not start. */
    public void cancelStart(long nowMillis, String account, String program) {
        AccountAdmission admission = accounts.get(account);
        if (admission != null) {
            admission.cancelStart(nowMillis, program);
        }
    }

    /** Forgets all accounts but the given ones. */
    public void retain(Set<String> configured) {
        accounts.keySet().retainAll(configured);
    }

    /** Forgets all accounts, where the mechanism is not enabled. */
    public void clear() {
        accounts.clear();
    }

    /** Number of programs started since the start of the process. */
    public long admitted() {
        return admitted;
    }

    /** Number of first turns refused since the start of the process. */
    public long refused() {
        return refused;
    }

    /** Mean number of tokens that a program of a kind takes at this owner, over the programs of all accounts. */
    private double tokensPerProgram(String kind) {
        double tokens = 0;
        double programs = 0;
        for (AccountAdmission admission : accounts.values()) {
            double counted = admission.sizes().countedPrograms(kind);
            tokens += counted * admission.sizes().mean(kind);
            programs += counted;
        }
        return programs == 0 ? ProgramSizes.ASSUMED_TOKENS : tokens / programs;
    }

    /** Number of accounts whose first turns were refused within the last seconds. */
    public long refusingAccounts(long nowMillis) {
        return accounts.values().stream()
                .filter(admission -> admission.isRefusing(nowMillis))
                .count();
    }

    /** State by account. */
    public Map<String, AdmissionStatus> status(long nowMillis) {
        Map<String, AdmissionStatus> status = new TreeMap<>();
        accounts.forEach((account, admission) -> status.put(account, admission.status(nowMillis)));
        return status;
    }
}
