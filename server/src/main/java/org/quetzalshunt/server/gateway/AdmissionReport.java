package org.quetzalshunt.server.gateway;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Comparator;
import java.util.Map;
import java.util.function.Supplier;
import org.quetzalshunt.core.admission.AdmissionStatus;
import org.quetzalshunt.core.admission.ProgramAdmissions;

/** Reports to operators which programs the owner of quota shares admits: metrics, log events and state dump. */
final class AdmissionReport implements ProgramAdmissions.Listener {
    private static final int MAXIMUM_ACCOUNTS = 100;

    private final DecisionLog log;
    private final GatewayMetrics metrics;

    private AdmissionReport(DecisionLog log, GatewayMetrics metrics) {
        this.log = log;
        this.metrics = metrics;
    }

    /** Creates the admission of programs at a VM, with its metrics. */
    static ProgramAdmissions observedAdmissions(DecisionLog log, GatewayMetrics metrics, NodeClock clock) {
        ProgramAdmissions programs = ProgramAdmissions.create(new AdmissionReport(log, metrics));
        metrics.registerGauge(
                "quetzalshunt.programs.admitted",
                "first turns that this owner of quotas admitted since the start",
                programs::admitted);
        metrics.registerGauge(
                "quetzalshunt.programs.refused",
                "first turns that this owner of quotas refused since the start",
                programs::refused);
        metrics.registerGauge(
                "quetzalshunt.programs.refusing.accounts",
                "accounts whose first turns this owner refused within the last seconds",
                () -> programs.refusingAccounts(clock.now()));
        return programs;
    }

    /** Registers a gauge for a kind of which a program starts here for the first time. */
    @Override
    public void onKind(String kind, Supplier<Number> tokensPerProgram) {
        metrics.registerGauge(
                "quetzalshunt.programs.tokens",
                "mean number of tokens that a program takes from this owner of quotas",
                "kind",
                kind,
                tokensPerProgram);
    }

    @Override
    public void onRefusing(String account, AdmissionStatus status) {
        ObjectNode event = log.event("program-starts").put("account", account);
        add(event, status);
        log.write(event);
    }

    /** Adds the accounts with the most refused first turns. */
    static void addTo(ObjectNode dump, ProgramAdmissions programs, long nowMillis) {
        ObjectNode section = dump.putObject("programAdmission")
                .put("admitted", programs.admitted())
                .put("refused", programs.refused());
        ObjectNode accounts = section.putObject("accounts");
        programs.status(nowMillis).entrySet().stream()
                .sorted(Map.Entry.comparingByValue(
                        Comparator.comparingLong(AdmissionStatus::refused).reversed()))
                .limit(MAXIMUM_ACCOUNTS)
                .forEach(entry -> add(accounts.putObject(entry.getKey()), entry.getValue()));
    }

    private static void add(ObjectNode node, AdmissionStatus status) {
        node.put("refusing", status.refusing())
                .put("admitted", status.admitted())
                .put("refused", status.refused())
                .put("startTokens", Math.round(status.startTokens()))
                .put("runningPrograms", status.runningPrograms())
                .put("promisedStarts", status.promisedStarts());
        ObjectNode tokens = node.putObject("tokensPerProgram");
        status.tokensPerProgram().forEach((kind, mean) -> tokens.put(kind, Math.round(mean * 10) / 10.0));
    }
}
