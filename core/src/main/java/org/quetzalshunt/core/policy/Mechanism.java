package org.quetzalshunt.core.policy;

import java.util.Arrays;
import java.util.Locale;
import java.util.Optional;

/** Parts of the scheduling policy that can be disabled one by one. */
public enum Mechanism {
    /** Prefers endpoints that have more of the prompt cached. Without it: cached prompts are ignored. */
    PREFIX_AFFINITY,
    /** Gateways announce which endpoints cache which prompts. Without it: each gateway uses its own turns only. */
    SHARED_PREFIX_LOCATIONS,
    /**
     * Sends a prompt part that no endpoint is known to cache to an endpoint that all gateways choose alike by
     * rendezvous hashing. Without it: to any endpoint.
     */
    PREFIX_PLACEMENT,
    /**
     * Compares two random endpoints and those with affinity to the prompt. Without it: all endpoints are compared, and
     * at any time all gateways select the same one.
     */
    TWO_CHOICES,
    /**
     * Adds the prompts queued for prefill at an endpoint to its expected wait. Without it: a new, empty endpoint
     * attracts all requests at once.
     */
    PREFILL_BACKLOG,
    /**
     * Estimates an endpoint's speed by its time per token. Without it: by the mean time of whole runs of any length.
     */
    TOKEN_RATE,
    /**
     * After an outage or a restart, a gateway reads the heartbeats of its peers at short intervals until it holds its
     * quota shares. Without it: once a second, as in steady state.
     */
    FAST_RENEWAL,
    /** In an outage, requests wait for a part of their remaining time. Without it: they are refused at once. */
    OUTAGE_WAIT,
    /** Retry-after times in an outage of all gateways are long enough to outlast it. Without it: at most 0.9 s. */
    OUTAGE_RETRY_DELAY,
    /** First turns of programs beyond their account's rate get a longer retry-after time. Without it: the usual one. */
    PROGRAM_START_DELAY,
    /**
     * The gateway that ran the previous turn sends its history and unused budget tokens to the next one. Without it:
     * both are read from the store.
     */
    PEER_HISTORY,
    /**
     * Gateways announce exhausted budgets. Without it: each gateway detects them only by a request, which costs one
     * rate token.
     */
    SHARED_EXHAUSTION,
    /** A program starts only on a rate token that is available now. Without it: its start may wait for the next one. */
    STARTS_WITHOUT_WAIT,
    /**
     * Programs of the highest priority may wait longer for a rate token before they start. Without it: as long as
     * others. Has no effect while {@link #STARTS_WITHOUT_WAIT} is enabled.
     */
    URGENT_STARTS,
    /**
     * An account's quota admits whole programs: the first turn is admitted only if the quota covers the requests that
     * its program is expected to send. Without it: if there is one token. Part of load control.
     */
    PROGRAM_ADMISSION(Activation.LOAD_CONTROL),
    /**
     * First turns of programs wait at the gateway, in order of urgency and slack, until an endpoint has a free slot.
     * Without it: in the queues of the endpoints. Part of load control.
     */
    DISPATCH_QUEUE(Activation.LOAD_CONTROL_ON_REQUEST),
    /**
     * Engines rank all requests alike, since the gateways send first turns in order of urgency and slack; by route and
     * account only while far more requests are in flight than there are slots. Has an effect only with {@link
     * #DISPATCH_QUEUE}. Without it: always by route and account. Part of load control.
     */
    SLACK_PRIORITY(Activation.LOAD_CONTROL_ON_REQUEST),
    /**
     * While a service is short of capacity, accounts that use more than their share wait or are refused first. Without
     * it: only their quotas limit them. Part of load control.
     */
    ACCOUNT_SHARES(Activation.LOAD_CONTROL_ON_REQUEST),
    /**
     * Samples endpoints in proportion to their free speed, which gateways report to each other. Without it: all
     * endpoints alike. Part of load control.
     */
    SPEED_SAMPLING(Activation.LOAD_CONTROL_ON_REQUEST),
    /**
     * Avoids an endpoint whose events are overdue for as long as its slow phases last. Without it: it is avoided only
     * after failures. Part of load control.
     */
    SLOWDOWN_DETECTION(Activation.LOAD_CONTROL_ON_REQUEST),
    /**
     * Sends work to the VM's own data centre while that has free capacity. Without it: to any data centre whose
     * endpoint is expected to answer sooner. Part of load control.
     */
    LOCAL_FIRST(Activation.LOAD_CONTROL_ON_REQUEST),
    /**
     * Limits what is held in memory for callers, endpoints and peers. Without it: the memory is not limited. Part of
     * load control.
     */
    MEMORY_LIMIT(Activation.LOAD_CONTROL);

    /** When a mechanism has an effect. */
    private enum Activation {
        /** In every deployment. */
        ALWAYS,
        /** In deployments whose settings or routes call for load control. */
        LOAD_CONTROL,
        /** In deployments under load control whose operators request it by its name. */
        LOAD_CONTROL_ON_REQUEST
    }

    private final Activation activation;

    Mechanism() {
        this(Activation.ALWAYS);
    }

    Mechanism(Activation activation) {
        this.activation = activation;
    }

    /** Whether the mechanism has an effect only in deployments whose settings or routes call for load control. */
    public boolean isPartOfLoadControl() {
        return activation != Activation.ALWAYS;
    }

    /** Whether operators have to request the mechanism by its name. */
    public boolean isOnRequest() {
        return activation == Activation.LOAD_CONTROL_ON_REQUEST;
    }

    /** Name on the command line: lower case, with hyphens. */
    public String flag() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Finds a mechanism by its name on the command line. */
    public static Optional<Mechanism> ofFlag(String flag) {
        return Arrays.stream(values())
                .filter(mechanism -> mechanism.flag().equals(flag))
                .findFirst();
    }
}
