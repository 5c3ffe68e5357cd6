package org.quetzalshunt.core.program;

/**
 * The recorded state of a request, stored under its idempotency key.
 *
 * @param requestId id of the request that first used the key
 * @param requestDigest digest of the request; a request with the same key and another digest is refused
 * @param ended whether the outcome is recorded; if not, the request may have run
 * @param resultCode number of the result code, once ended
 * @param answer the answer, once ended
 * @param recordedMillis timestamp of the newest record about the request
 */
record StoredResult(
        String requestId,
        byte[] requestDigest,
        boolean ended,
        int resultCode,
        StoredAnswer answer,
        long recordedMillis) {}
