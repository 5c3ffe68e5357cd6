package org.quetzalshunt.core.routing;

/**
 * Slots of a service and their use over all VMs.
 *
 * @param slots slots of the endpoints that accept work
 * @param inFlight requests of this VM and its peers in flight there; more than the slots if some are queued
 */
public record SlotUse(int slots, int inFlight) {}
