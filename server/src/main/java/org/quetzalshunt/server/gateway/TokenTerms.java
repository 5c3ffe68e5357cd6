package org.quetzalshunt.server.gateway;

import org.quetzalshunt.core.admission.ProgramRequest;

/**
 * The terms on which a request takes a token of its account's quota.
 *
 * @param request what is sent to the owners of the quota about the request
 * @param maximumWaitMillis longest time for which it may wait for a single token
 * @param maximumPromiseMillis longest time after which its caller may return to start its program, if it is a first
 *     turn
 */
record TokenTerms(ProgramRequest request, long maximumWaitMillis, long maximumPromiseMillis) {
    /** The terms of a turn that was taken for a first one. */
    TokenTerms ofRunningProgram() {
        return new TokenTerms(request.ofRunningProgram(), maximumWaitMillis, 0);
    }
}
