package org.quetzalshunt.core.store;

/** The maps that this system reads and writes. */
public enum MapName {
    /** Configuration, written by operators. One shard. */
    CONFIGURATION,
    /** Addresses and states of endpoints, written by the endpoints. One shard. */
    REGISTRATIONS,
    /** Heartbeats of VMs and reports of endpoint crashes. One shard. */
    FLEET,
    /** Share of an account's quota that a VM holds: one record per account and VM, sharded by account. */
    QUOTAS,
    /** Completed turns: one record per turn, sharded by turn id. */
    TURNS,
    /** Tokens of a program's budget allotted to a VM: one record per program and VM, sharded by program id. */
    BUDGETS
}
