package org.quetzalshunt.core.policy;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** A rule of the policy that can be switched off; what stands in its place is said with each. */
public enum Mechanism {
    /** Work goes where its prompt lies in memory. Without it: where least runs. */
    PREFIX_AFFINITY,
    /** Gateways tell each other where prompts lie. Without it: each knows of its own turns only. */
    SHARED_PREFIX_LOCATIONS,
    /** A part that no endpoint is known to hold goes where all gateways agree on. Without it: anywhere. */
    PREFIX_PLACEMENT,
    /** Two endpoints picked at random are compared. Without it: all, so that VMs herd to the one that looked best. */
    TWO_CHOICES,
    /** Prompts that an endpoint has still to read count as a wait there. Without it: an empty new one draws all at once. */
    PREFILL_BACKLOG,
    /** An endpoint's speed is its time for a token. Without it: the mean time of whole runs, long and short alike. */
    TOKEN_RATE,
    /** Rates are settled quickly after an outage or a restart. Without it: at the calm pace of one round a second. */
    FAST_RENEWAL,
    /** Requests wait for a part of their time for an outage to end. Without it: refused at once. */
    OUTAGE_WAIT,
    /** Callers come back late enough to outlive an outage for all. Without it: after 0.9 s. */
    OUTAGE_RETRY_DELAY,
    /** Beginnings beyond their account's rate come back late. Without it: as soon as others. */
    PROGRAM_START_DELAY,
    /** The gateway of the turn before gives its chain and unspent tokens. Without it: both come from the store. */
    PEER_HISTORY,
    /** Gateways tell each other of exhausted budgets. Without it: each finds out by itself, after a token of the rate. */
    SHARED_EXHAUSTION,
    /** A program starts on a token of its account that is there now. Without it: its start waits for one to be earned. */
    STARTS_WITHOUT_WAIT,
    /** Where starts wait, those of the most urgent programs wait longer. Without it: as long as others. */
    URGENT_STARTS;

    /** Name in flags: lower case, with hyphens. */
    public String flag() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The mechanism with a name as in flags. */
    public static Optional<Mechanism> ofFlag(String flag) {
        return Arrays.stream(values())
                .filter(mechanism -> mechanism.flag().equals(flag))
                .findFirst();
    }
}
