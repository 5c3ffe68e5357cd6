package org.quetzalshunt.core.vm;

/** What a process of the system does. */
public enum VmRole {
    ENTRY,
    SIDECAR
}
