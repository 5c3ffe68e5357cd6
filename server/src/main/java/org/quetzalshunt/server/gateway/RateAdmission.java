package org.quetzalshunt.server.gateway;

import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import org.quetzalshunt.core.admission.ProgramRequest;
import org.quetzalshunt.core.admission.ReturnTimes;
import org.quetzalshunt.core.policy.Mechanism;
import org.quetzalshunt.core.quota.QuotaWaitPolicy;
import org.quetzalshunt.core.quota.TokenSearch;
import org.quetzalshunt.core.result.Refusal;
import org.quetzalshunt.core.result.ResultCode;
import org.quetzalshunt.core.route.AccountConfiguration;

/** The terms on which a request asks for a token of its account's rate quota, and its refusal without one. */
final class RateAdmission {
    /** Priority of the most urgent routes; larger numbers are less urgent. */
    private static final int HIGHEST_PRIORITY = 0;

    private RateAdmission() {}

    /** What the owners of the quota are told about the request; nothing while programs are not admitted as a whole. */
    static ProgramRequest programRequest(Gateway gateway, AdmittedRequest admitted) {
        if (!gateway.isEnabled(Mechanism.PROGRAM_ADMISSION)) {
            return ProgramRequest.NONE;
        }
        Optional<String> startedKind =
                admitted.beginsProgram() ? Optional.of(admitted.route().name()) : Optional.empty();
        return new ProgramRequest(admitted.request().program(), startedKind, admitted.urgency());
    }

    /**
     * The longest time that the request may wait for its token, in milliseconds. A request that starts a whole program
     * does not wait; for it, this is the longest time after which its caller may return.
     */
    static long maximumWaitMillis(Gateway gateway, AdmittedRequest admitted, ProgramRequest request) {
        long left = admitted.deadlineMillis() - gateway.clock().now();
        if (request.startsProgram()) {
            return ReturnTimes.maximumPromiseMillis(left);
        }
        boolean urgent = gateway.settings().policy().isEnabled(Mechanism.URGENT_STARTS)
                && admitted.route().priority() == HIGHEST_PRIORITY;
        boolean startsWithoutWait =
                gateway.settings().policy().isEnabled(Mechanism.STARTS_WITHOUT_WAIT) && admitted.beginsProgram();
        return startsWithoutWait
                ? QuotaWaitPolicy.START_WAIT_MILLIS
                : QuotaWaitPolicy.maximumWaitMillis(admitted.beginsProgram(), urgent, left);
    }

    /** The refusal of a request beyond its account's quota. */
    static Refusal refusal(
            Gateway gateway,
            AdmittedRequest admitted,
            AccountConfiguration account,
            ProgramRequest request,
            TokenSearch.Result.OverQuota overQuota) {
        long left = admitted.deadlineMillis() - gateway.clock().now();
        double chance = ThreadLocalRandom.current().nextDouble();
        long shortest = overQuota.shortestWaitMillis();
        if (request.startsProgram()) {
            return Refusal.notRunRetryAfter(
                    ResultCode.RATE_EXCEEDED,
                    "rate " + account.ratePerSecond() + ", program in " + shortest + " ms",
                    ReturnTimes.retryAfterMillis(shortest, left, chance));
        }
        boolean delayedStart =
                gateway.settings().policy().isEnabled(Mechanism.PROGRAM_START_DELAY) && admitted.beginsProgram();
        return Refusal.notRunRetryAfter(
                ResultCode.RATE_EXCEEDED,
                "rate " + account.ratePerSecond() + ", token in " + shortest + " ms",
                QuotaWaitPolicy.retryAfterMillis(delayedStart, account.ratePerSecond(), left, chance));
    }
}
