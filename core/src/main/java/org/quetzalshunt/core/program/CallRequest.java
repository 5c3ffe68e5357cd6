package org.quetzalshunt.core.program;

/**
 * A call that must run at most once, identified by its client account and idempotency key.
 *
 * @param requestId id of the request
 * @param clientAccount client account that the caller authenticated as
 * @param idempotencyKey the caller's idempotency key, or one derived from the request id if the caller sent none
 * @param service service that the call is for
 * @param digest SHA-256 digest of method, path and body
 */
public record CallRequest(
        String requestId, String clientAccount, String idempotencyKey, String service, byte[] digest) {}
