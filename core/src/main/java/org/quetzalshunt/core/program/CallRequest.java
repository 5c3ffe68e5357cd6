package org.quetzalshunt.core.program;

/**
 * A call that must run at most once, named by its idempotency key.
 *
 * @param requestId id of the request
 * @param clientAccount account of the key that came with it
 * @param idempotencyKey names the call over re-sends
 * @param service service that runs it
 * @param digest digest of everything that the caller asked
 */
public record CallRequest(
        String requestId, String clientAccount, String idempotencyKey, String service, byte[] digest) {}
