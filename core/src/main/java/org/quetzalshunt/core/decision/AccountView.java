package org.quetzalshunt.core.decision;

/**
 * Load of one client account of one service, for status and metrics.
 *
 * @param service service
 * @param clientAccount account
 * @param queued requests queued at this entry
 * @param running requests that this entry has running
 * @param attainedTokens tokens of work charged to the account since this entry started
 */
public record AccountView(String service, String clientAccount, int queued, int running, long attainedTokens) {}
