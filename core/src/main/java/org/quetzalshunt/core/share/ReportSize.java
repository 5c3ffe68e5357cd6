package org.quetzalshunt.core.share;

/**
 * Size of a report to peers. Guards against reports that fill the link of a small VM: with 300 VMs it sends more than
 * 600 messages per second, each of which would contain 32 accounts.
 */
public final class ReportSize {
    /** Accounts in one report at most, over all services. */
    public static final int MAXIMUM_ACCOUNTS = 32;

    /** Accounts in one report at least, however many peers there are. */
    private static final int MINIMUM_ACCOUNTS = 4;

    /** Accounts in all messages of one second: about 100 kB at 24 bytes for an entry. */
    private static final int ACCOUNTS_PER_SECOND = 4_000;

    private ReportSize() {}

    /**
     * The number of accounts in one report.
     *
     * @param messagesPerSecond messages that this VM sends to all peers in a second
     */
    public static int accounts(double messagesPerSecond) {
        double accounts = ACCOUNTS_PER_SECOND / Math.max(1, messagesPerSecond);
        return (int) Math.max(MINIMUM_ACCOUNTS, Math.min(MAXIMUM_ACCOUNTS, accounts));
    }
}
