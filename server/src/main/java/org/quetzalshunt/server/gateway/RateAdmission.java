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

    /**
     * The terms on which a request takes a token. While programs are admitted as a whole, a first turn starts its program
     * or is refused; otherwise it may wait for a single token as the policy states.
     */
    static TokenTerms terms(Gateway gateway, AdmittedRequest admitted) {
        long left = admitted.deadlineMillis() - gateway.clock().now();
        if (!gateway.isEnabled(Mechanism.PROGRAM_ADMISSION)) {
            return new TokenTerms(ProgramRequest.NONE, singleTokenWaitMillis(gateway, admitted, left), 0);
        }
        Optional<String> startedKind =
                admitted.beginsProgram() ? Optional.of(admitted.route().name()) : Optional.empty();
        ProgramRequest request = new ProgramRequest(admitted.request().program(), startedKind, admitted.urgency());
        if (!request.startsProgram()) {
            return new TokenTerms(request, singleTokenWaitMillis(gateway, admitted, left), 0);
        }
        return new TokenTerms(
                request, QuotaWaitPolicy.maximumWaitMillis(false, false, left), ReturnTimes.maximumPromiseMillis(left));
    }

    private static long singleTokenWaitMillis(Gateway gateway, AdmittedRequest admitted, long leftMillis) {
        boolean urgent = gateway.settings().policy().isEnabled(Mechanism.URGENT_STARTS)
                && admitted.route().priority() == HIGHEST_PRIORITY;
        boolean startsWithoutWait =
                gateway.settings().policy().isEnabled(Mechanism.STARTS_WITHOUT_WAIT) && admitted.beginsProgram();
        return startsWithoutWait
                ? QuotaWaitPolicy.START_WAIT_MILLIS
                : QuotaWaitPolicy.maximumWaitMillis(admitted.beginsProgram(), urgent, leftMillis);
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
