package org.quetzalshunt.core.budget;

import java.util.ArrayList;
import java.util.List;

/**
 * The allotments that all VMs have from a program's budget, as last read from the shared map. A record must be kept as
 * long as the program runs, and not only as long as its VM: the tokens of a VM that has ended are spent. So whichever
 * VM grants or refuses a turn renews the records of all VMs that would expire before the turn's retention ends.
 *
 * <p>Expected load: programs that go on through other VMs after a restart of some or all, for longer than the retention
 * period.
 */
public final class AllotmentRecords {
    /**
     * The allotment of one VM.
     *
     * @param holder incarnation of the VM
     * @param expiresMillis expiry of the record, in Unix milliseconds
     */
    public record Allotment(String holder, long tokens, long expiresMillis) {}

    private List<Allotment> allotments = List.of();

    private AllotmentRecords() {}

    /** Creates the records of a program that has none, or whose records have not been read. */
    public static AllotmentRecords create() {
        return new AllotmentRecords();
    }

    /** Replaces all records by those read from the shared map. */
    public void read(List<Allotment> records) {
        allotments = List.copyOf(records);
    }

    /** Replaces or adds the record of one VM. */
    public void put(Allotment allotment) {
        List<Allotment> updated = new ArrayList<>(allotments);
        updated.removeIf(each -> each.holder().equals(allotment.holder()));
        updated.add(allotment);
        allotments = updated;
    }

    /**
     * The records to write again with a later expiry. To be written only if the shared map still has the records that
     * were read.
     *
     * @param neededUntilMillis time until which all records must be kept, in Unix milliseconds
     * @param expiresMillis expiry of the renewed records, in Unix milliseconds
     */
    public List<Allotment> renewals(long neededUntilMillis, long expiresMillis) {
        return allotments.stream()
                .filter(each -> each.expiresMillis() < neededUntilMillis)
                .map(each -> new Allotment(each.holder(), each.tokens(), expiresMillis))
                .toList();
    }

    /** The allotment of a VM; one of no tokens if it has none. */
    public Allotment of(String holder) {
        return allotments.stream()
                .filter(each -> each.holder().equals(holder))
                .findFirst()
                .orElse(new Allotment(holder, 0, 0));
    }

    /** Tokens allotted to all VMs but one. */
    public long tokensOfOthers(String holder) {
        return allotments.stream()
                .filter(each -> !each.holder().equals(holder))
                .mapToLong(Allotment::tokens)
                .sum();
    }
}
