package org.quetzalshunt.core.store;

/** The maps that this system reads and writes. */
public enum MapName {
    /** Written by operators: the configuration. One shard. */
    CONFIGURATION,
    /** Written by endpoints: where they are and how they are. One shard. */
    REGISTRATIONS,
    /** Heartbeats of VMs, and requests that crashed endpoints. One shard. */
    FLEET,
    /** One record an account and VM: the share of the account's quota that the VM holds, by the hash of the account. */
    QUOTAS,
    /** One record a turn, by the hash of its id. */
    TURNS,
    /** One record a program and VM: the tokens that the VM may hand out, by the hash of the program's id. */
    BUDGETS
}
