package org.quetzalshunt.core.decision;

/**
 * One client account of one service, for status and metrics.
 *
 * @param service service
 * @param clientAccount account
 * @param queued requests that wait here
 * @param running requests that run for it from here
 * @param attainedTokens tokens of work charged to it here since this entry started
 */
public record AccountView(String service, String clientAccount, int queued, int running, long attainedTokens) {}
