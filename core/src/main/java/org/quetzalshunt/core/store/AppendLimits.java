package org.quetzalshunt.core.store;

/**
 * Limits on the size of appends to the shared map.
 *
 * @param recordBytes maximum size of a record with its key
 * @param appendBytes maximum size of all records of one append
 */
public record AppendLimits(int recordBytes, int appendBytes) {
    /** Limits of a store that states none. */
    public static final AppendLimits DEFAULT = new AppendLimits(256 * 1024, 2 * 1024 * 1024);
}
