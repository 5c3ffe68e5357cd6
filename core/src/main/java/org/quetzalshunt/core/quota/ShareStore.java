package org.quetzalshunt.core.quota;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Store of the recorded shares of all accounts. Each listener is called exactly once, on the caller's event loop. */
public interface ShareStore {
    /**
     * The recorded shares of one account.
     *
     * @param shares shares by VM
     * @param end end offset of the account's log, which a conditional write must name
     */
    record Page(Map<String, QuotaShare> shares, long end) {}

    /** Result of a write. */
    enum WriteResult {
        WRITTEN,
        /** Another write came first, so nothing was written. */
        CONFLICT,
        /** The write may have happened, or may still happen later if its condition holds then. */
        UNKNOWN
    }

    /** Reads the shares of an account. The result is empty if the store did not answer. */
    void read(String account, Consumer<Optional<Page>> listener);

    /**
     * Records shares of an account atomically, on condition that the log still ends at the expected offset.
     *
     * @param changes new shares by VM; an empty value removes the VM's record
     */
    void write(
            String account,
            Map<String, Optional<QuotaShare>> changes,
            long expectedEnd,
            Consumer<WriteResult> listener);
}
