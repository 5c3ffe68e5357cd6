package org.quetzalshunt.core.store;

/** The maps that this system reads and writes. */
public enum MapName {
    /** Written by operators: the configuration. One shard. */
    CONFIGURATION,
    /** Written by endpoints: where they are and how they are. One shard. */
    REGISTRATIONS,
    /** One record a VM: its parts of the rates, and requests that ended endpoints. One shard. */
    FLEET,
    /** One record a turn, by the hash of its id. */
    TURNS,
    /** One record a program and VM: the tokens that the VM may hand out, by the hash of the program's id. */
    BUDGETS
}
