package org.quetzalshunt.core.quota;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/** Where the shares of all accounts are recorded. Answers come on the caller's event loop, once. */
public interface ShareStore {
    /**
     * The recorded shares of one account.
     *
     * @param shares by VM
     * @param end end of the records' log, for a write that expects it
     */
    record Page(Map<String, QuotaShare> shares, long end) {}

    /** What came of a write. */
    enum WriteResult {
        WRITTEN,
        /** Others have written since; nothing was. */
        CONFLICT,
        /** It may have been written, or be written later if its condition still holds. */
        UNKNOWN
    }

    /** Reads the shares of an account; empty when the store did not answer. */
    void read(String account, Consumer<Optional<Page>> listener);

    /**
     * Records shares of an account, all or none, if the log still ends where it was read.
     *
     * @param changes new shares by VM; an empty one is removed
     */
    void write(
            String account,
            Map<String, Optional<QuotaShare>> changes,
            long expectedEnd,
            Consumer<WriteResult> listener);
}
