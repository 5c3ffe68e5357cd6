package org.quetzalshunt.core.vm;

/** Role of a process in the system. */
public enum VmRole {
    ENTRY,
    SIDECAR
}
