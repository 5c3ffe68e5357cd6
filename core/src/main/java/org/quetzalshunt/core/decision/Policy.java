package org.quetzalshunt.core.decision;

import java.util.function.Function;
import java.util.function.LongPredicate;
import org.quetzalshunt.core.decision.admission.AdmissionRule;
import org.quetzalshunt.core.decision.endpoint.EarliestFinishChoice;
import org.quetzalshunt.core.decision.endpoint.EndpointChoice;
import org.quetzalshunt.core.decision.endpoint.EndpointRules;
import org.quetzalshunt.core.decision.endpoint.PlainChoices;
import org.quetzalshunt.core.decision.queue.QueueOrder;
import org.quetzalshunt.core.decision.queue.WorkCharge;

/**
 * The rules of a scheduler. Each rule is a function, so that a baseline or a test can replace one and keep the rest.
 *
 * @param name name of the policy in result tables
 * @param charge amount charged to a client account for work
 * @param order order of the requests inside an account
 * @param begun whether a program is in progress, given the sum of the turn and the attained tokens
 * @param choice creates the endpoint choice for the data centre of the entry; called once for each service
 * @param rules rules for the capacity of an endpoint
 * @param admission rule for refusing requests before they are queued
 */
public record Policy(
        String name,
        WorkCharge charge,
        QueueOrder order,
        LongPredicate begun,
        Function<String, EndpointChoice> choice,
        EndpointRules rules,
        AdmissionRule admission) {

    /** The policy used in production. */
    public static Policy standard() {
        return new Policy(
                "quetzalshunt",
                WorkCharge.tokensOfWork(),
                QueueOrder.leastAttained(),
                turnAndAttained -> turnAndAttained > 0,
                EarliestFinishChoice::from,
                EndpointRules.adaptive(),
                AdmissionRule.beforeDeadline());
    }

    /** Baseline: first come, first served, with endpoints in round-robin order. */
    public static Policy roundRobin() {
        return plain("round-robin", dataCentre -> PlainChoices.roundRobin());
    }

    /** Baseline: first come, first served, at the endpoint with the fewest requests. */
    public static Policy leastLoaded() {
        return plain("least-loaded", dataCentre -> PlainChoices.leastLoaded());
    }

    /** Baseline: first come, first served, always at the endpoint of the program's last turn. */
    public static Policy affinityOnly() {
        return plain("affinity-only", dataCentre -> PlainChoices.affinityOnly());
    }

    private static Policy plain(String name, Function<String, EndpointChoice> choice) {
        return new Policy(
                name,
                WorkCharge.nothing(),
                QueueOrder.arrival(),
                turnAndAttained -> false,
                choice,
                EndpointRules.unlimited(),
                AdmissionRule.everything());
    }

    /** Returns a copy with another name. */
    public Policy named(String newName) {
        return new Policy(newName, charge, order, begun, choice, rules, admission);
    }

    /** Returns a copy with another charge. */
    public Policy withCharge(WorkCharge newCharge) {
        return new Policy(name, newCharge, order, begun, choice, rules, admission);
    }

    /** Returns a copy with another order. */
    public Policy withOrder(QueueOrder newOrder) {
        return new Policy(name, charge, newOrder, begun, choice, rules, admission);
    }

    /** Returns a copy with another condition for programs in progress. */
    public Policy withBegun(LongPredicate newBegun) {
        return new Policy(name, charge, order, newBegun, choice, rules, admission);
    }

    /** Returns a copy with another endpoint choice. */
    public Policy withChoice(Function<String, EndpointChoice> newChoice) {
        return new Policy(name, charge, order, begun, newChoice, rules, admission);
    }

    /** Returns a copy with other endpoint rules. */
    public Policy withRules(EndpointRules newRules) {
        return new Policy(name, charge, order, begun, choice, newRules, admission);
    }

    /** Returns a copy with another admission rule. */
    public Policy withAdmission(AdmissionRule newAdmission) {
        return new Policy(name, charge, order, begun, choice, rules, newAdmission);
    }
}
