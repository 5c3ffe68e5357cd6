package org.quetzalshunt.core.program;

/**
 * A call that must run at most once, identified by its idempotency key.
 *
 * @param requestId id of the request
 * @param clientAccount client account that the caller authenticated as
 * @param idempotencyKey key that is the same when the caller repeats the call
 * @param service service that the call is for
 * @param digest digest of the whole request
 */
public record CallRequest(
        String requestId, String clientAccount, String idempotencyKey, String service, byte[] digest) {}
