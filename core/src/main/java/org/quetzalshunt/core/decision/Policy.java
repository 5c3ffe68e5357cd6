package org.quetzalshunt.core.decision;

import java.util.function.Function;
import java.util.function.LongPredicate;
import org.quetzalshunt.core.decision.admission.AdmissionRule;
import org.quetzalshunt.core.decision.endpoint.EndpointChoice;
import org.quetzalshunt.core.decision.endpoint.EndpointRules;
import org.quetzalshunt.core.decision.endpoint.ExpectedFinish;
import org.quetzalshunt.core.decision.endpoint.PlainChoices;
import org.quetzalshunt.core.decision.queue.QueueOrder;
import org.quetzalshunt.core.decision.queue.WorkCharge;

/**
 * The rules that a scheduler follows, each a function, so that a baseline or a test can replace one and keep the rest.
 *
 * @param name for tables of results
 * @param charge what accounts are charged
 * @param order order inside an account
 * @param begun whether a program counts as begun, by turn and attained tokens joined as turn + attained
 * @param choice makes the choice of an endpoint, given the entry's data centre; called once for each service
 * @param rules what keeps an endpoint's room
 * @param admission what is refused before it waits
 */
public record Policy(
        String name,
        WorkCharge charge,
        QueueOrder order,
        LongPredicate begun,
        Function<String, EndpointChoice> choice,
        EndpointRules rules,
        AdmissionRule admission) {

    /** The policy in force. */
    public static Policy standard() {
        return new Policy(
                "quetzalshunt",
                WorkCharge.tokensOfWork(),
                QueueOrder.leastAttained(),
                turnAndAttained -> turnAndAttained > 0,
                ExpectedFinish::from,
                EndpointRules.adaptive(),
                AdmissionRule.beforeDeadline());
    }

    /** First come first served, endpoints in turn. */
    public static Policy roundRobin() {
        return plain("round-robin", dataCentre -> PlainChoices.roundRobin());
    }

    /** First come first served, to the endpoint with the fewest requests. */
    public static Policy leastLoaded() {
        return plain("least-loaded", dataCentre -> PlainChoices.leastLoaded());
    }

    /** First come first served, always to the endpoint of the program's last turn. */
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

    /** The same under another name. */
    public Policy named(String newName) {
        return new Policy(newName, charge, order, begun, choice, rules, admission);
    }

    /** The same with another charge. */
    public Policy withCharge(WorkCharge newCharge) {
        return new Policy(name, newCharge, order, begun, choice, rules, admission);
    }

    /** The same with another order. */
    public Policy withOrder(QueueOrder newOrder) {
        return new Policy(name, charge, newOrder, begun, choice, rules, admission);
    }

    /** The same with another view of which programs have begun. */
    public Policy withBegun(LongPredicate newBegun) {
        return new Policy(name, charge, order, newBegun, choice, rules, admission);
    }

    /** The same with another choice. */
    public Policy withChoice(Function<String, EndpointChoice> newChoice) {
        return new Policy(name, charge, order, begun, newChoice, rules, admission);
    }

    /** The same with other rules for endpoints. */
    public Policy withRules(EndpointRules newRules) {
        return new Policy(name, charge, order, begun, choice, newRules, admission);
    }

    /** The same with another admission. */
    public Policy withAdmission(AdmissionRule newAdmission) {
        return new Policy(name, charge, order, begun, choice, rules, newAdmission);
    }
}
