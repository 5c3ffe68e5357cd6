package org.quetzalshunt.core.program;

/**
 * What is known of a request by its idempotency key.
 *
 * @param requestId request that ran
 * @param requestDigest digest of what was asked; another request under the same key is an error of the caller
 * @param ended whether its outcome is known; without it the request may have run
 * @param resultCode numbered outcome, once it ended
 * @param stored the answer, once it ended
 * @param millis time of its last record
 */
record StoredResult(
        String requestId, byte[] requestDigest, boolean ended, int resultCode, StoredAnswer stored, long millis) {}
